package io.hawthornlb.gateway.decode;

/**
 * Thrown when bytes of another writer cannot be decoded; names the place of the error. A reader
 * skips such bytes and continues, and the writer has to write them again.
 */
public final class UnreadableException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  private final String place;
  private final String reason;

  /**
   * Creates an exception.
   *
   * @param place field that cannot be read, or name of the whole value
   * @param reason what is wrong, without the value itself, so that the reason is equal for all
   *     values
   */
  public UnreadableException(String place, String reason) {
    super(place + ": " + reason);
    this.place = place;
    this.reason = reason;
  }

  /** Returns the field that cannot be read, or the name of the whole value. */
  public String place() {
    return place;
  }

  /** Returns what is wrong with the field. */
  public String reason() {
    return reason;
  }
}

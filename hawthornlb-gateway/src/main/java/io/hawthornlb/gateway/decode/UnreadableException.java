package io.hawthornlb.gateway.decode;

/**
 * Says that bytes of another writer hold no value of ours, and where. Whoever reads them passes
 * them over and goes on; the writer has to write them anew.
 */
public final class UnreadableException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  private final String place;
  private final String reason;

  /**
   * Creates an exception.
   *
   * @param place field that cannot be read, or what the bytes should hold as a whole
   * @param reason what is wrong with it, without the value, so that it is the same for all values
   */
  public UnreadableException(String place, String reason) {
    super(place + ": " + reason);
    this.place = place;
    this.reason = reason;
  }

  /** Returns the field that cannot be read, or what the bytes should hold as a whole. */
  public String place() {
    return place;
  }

  /** Returns what is wrong with it. */
  public String reason() {
    return reason;
  }
}

package io.hawthornlb.net.platform;

/** Thrown when an offset is no longer retained. Reading can continue at the first retained one. */
public class OffsetExpiredException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final long firstOffset;

  /** Creates the exception with the first retained offset. */
  public OffsetExpiredException(long firstOffset) {
    super("offset expired; the first retained offset is " + firstOffset);
    this.firstOffset = firstOffset;
  }

  /** Returns the first offset that is still retained. */
  public long firstOffset() {
    return firstOffset;
  }
}

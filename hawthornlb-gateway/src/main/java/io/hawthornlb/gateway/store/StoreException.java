package io.hawthornlb.gateway.store;

/** A call to the store that did not succeed. */
public final class StoreException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** What is known of the call. */
  public enum Kind {
    /** The store did nothing; the call may be made again. */
    NOT_DONE,
    /** No answer came; the call may have been carried out, or may still be. */
    UNKNOWN,
    /** A later holder writes to the partition. */
    FENCED,
    /** The sequence number does not follow the last one. */
    OUT_OF_SEQUENCE
  }

  private final Kind kind;

  /** Creates an exception. */
  public StoreException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns what is known of the call. */
  public Kind kind() {
    return kind;
  }
}

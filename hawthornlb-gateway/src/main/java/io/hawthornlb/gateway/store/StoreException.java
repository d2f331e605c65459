package io.hawthornlb.gateway.store;

/** Thrown when a call to the store fails. */
public final class StoreException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** What the caller knows about the failed call. */
  public enum Kind {
    /** The store did not carry the call out, and the call may be retried. */
    NOT_DONE,
    /** The call got no reply. The store may have carried it out, or may still do so. */
    UNKNOWN,
    /** A later holder has fenced the partition. */
    FENCED,
    /** The sequence number of the append does not follow the last one. */
    OUT_OF_SEQUENCE,
    /** The partition does not end at the offset that the append names. */
    NOT_AT_END
  }

  private final Kind kind;

  public StoreException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns what is known about the failed call. */
  public Kind kind() {
    return kind;
  }
}

package io.hawthornlb.gateway.wire;

/** Counts bytes against a limit. */
public final class ByteBudget {

  private final long limit;
  private long used;

  /** Creates a budget of which nothing is used. */
  public ByteBudget(long limit) {
    this.limit = limit;
  }

  /** Counts bytes. */
  public void use(long bytes) {
    used += bytes;
  }

  /** Sets the count, as the bytes before were of use. */
  public void restart(long bytes) {
    used = bytes;
  }

  /** Returns whether more bytes than the limit were counted. */
  public boolean exceeded() {
    return used > limit;
  }

  /** Returns how many bytes were counted. */
  public long used() {
    return used;
  }
}

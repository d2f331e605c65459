package io.hawthornlb.gateway.wire;

/** Counts bytes against a limit. */
final class ByteBudget {

  private final long limit;
  private long used;

  ByteBudget(long limit) {
    this.limit = limit;
  }

  /** Counts bytes. */
  void use(long bytes) {
    used += bytes;
  }

  /** Sets the count, as the bytes before were of use. */
  void restart(long bytes) {
    used = bytes;
  }

  /** Returns whether more bytes than the limit were counted. */
  boolean exceeded() {
    return used > limit;
  }

  long used() {
    return used;
  }
}

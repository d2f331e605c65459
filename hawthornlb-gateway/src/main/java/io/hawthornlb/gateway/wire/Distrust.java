package io.hawthornlb.gateway.wire;

/** Why a connection to an endpoint is closed at once, since what comes next on it is in doubt. */
enum Distrust {
  /** The bytes cannot be decoded. */
  NOT_HTTP("the response is not HTTP"),
  /** Two answers are joined in one head. */
  JOINED_HEADS("two answers are joined in one head"),
  /** An answer names no request, so nobody knows whether that of the waiting request follows. */
  UNNAMED("the answer names no request"),
  /** A dropped answer has neither a length nor chunks, and takes what follows for its body. */
  UNFRAMED_COPY("the answer to another request has no end"),
  /** A dropped answer and one to HEAD are on the connection, and either may have no body. */
  COPY_BESIDE_HEAD("the answer to another request may have no body"),
  /** Bytes came after an answer, or while no request waits. */
  STRAY_BYTES("bytes came while no request waits");

  private final String label;

  Distrust(String label) {
    this.label = label;
  }

  /** Returns the metric label, log cause and cause of the failed attempt. */
  String label() {
    return label;
  }
}

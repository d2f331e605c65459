package io.hawthornlb.gateway.wire;

import org.jspecify.annotations.Nullable;

/** To whom an answer on a connection belongs, by the request id that endpoints echo. */
enum AnswerOwner {
  /** The request that waits on the connection. */
  WAITING_REQUEST("own id"),
  /** Another request, as with a late copy of an earlier answer. */
  OTHER_REQUEST("other id"),
  /** Nobody knows, since the answer names no request. */
  UNNAMED("no id"),
  /** No request, since none waits. */
  NOBODY("no request waits");

  private final String label;

  AnswerOwner(String label) {
    this.label = label;
  }

  /** Returns the owner of an answer that arrives while a request waits. */
  static AnswerOwner of(@Nullable String echoedId, @Nullable String waitingId) {
    if (echoedId == null) {
      return UNNAMED;
    }
    return echoedId.equals(waitingId) ? WAITING_REQUEST : OTHER_REQUEST;
  }

  /** Returns the metric label and log cause of this owner. */
  String label() {
    return label;
  }
}

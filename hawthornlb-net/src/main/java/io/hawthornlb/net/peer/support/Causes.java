package io.hawthornlb.net.peer.support;

/** Describes failures for log lines and error messages. */
final class Causes {

  private Causes() {}

  /** Returns the message of a failure, or the name of its type if it has no message. */
  static String text(Throwable failure) {
    String message = failure.getMessage();
    return message == null ? failure.getClass().getSimpleName() : message;
  }
}

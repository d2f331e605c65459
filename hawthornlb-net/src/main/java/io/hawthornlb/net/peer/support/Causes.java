package io.hawthornlb.net.peer.support;

/** Texts of failures for logs and callers. */
final class Causes {

  private Causes() {}

  /** Returns the message of a failure, or the name of its type where it has none. */
  static String text(Throwable failure) {
    String message = failure.getMessage();
    return message == null ? failure.getClass().getSimpleName() : message;
  }
}

package io.hawthornlb.standin.engine;

/** Receives the tokens of a stream. Implementations must not block. */
public interface StreamListener {

  /** Handles a token. Tokens arrive in order. */
  void token(int index);

  /** Handles the end of the stream. Called once, after the last token. */
  void end(Ending ending);

  /** The reason why a stream ended. */
  enum Ending {
    /** All tokens have been generated. */
    COMPLETE,
    /** The stream was cancelled. It can be resumed for a limited time. */
    CANCELLED
  }
}

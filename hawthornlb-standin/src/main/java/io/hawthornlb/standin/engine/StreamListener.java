package io.hawthornlb.standin.engine;

/** Reads a stream of tokens; must not block. */
public interface StreamListener {

  /** Called for each token, in order. */
  void token(int index);

  /** Called once, after the last token. */
  void end(Ending ending);

  /** How a stream ended. */
  enum Ending {
    /** All tokens are there. */
    COMPLETE,
    /** Somebody cancelled it; it can be resumed for a time. */
    CANCELLED
  }
}

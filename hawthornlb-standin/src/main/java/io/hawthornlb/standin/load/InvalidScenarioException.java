package io.hawthornlb.standin.load;

/** A scenario asks for what the load tool does not do; the message says what to change. */
public final class InvalidScenarioException extends RuntimeException {

  /** Says what to change. */
  public InvalidScenarioException(String message) {
    super(message);
  }
}

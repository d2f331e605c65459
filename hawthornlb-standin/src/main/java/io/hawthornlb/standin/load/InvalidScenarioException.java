package io.hawthornlb.standin.load;

/**
 * Thrown if a scenario exceeds what the load tool permits, such as an address outside this machine
 * or too many requests.
 */
public final class InvalidScenarioException extends RuntimeException {

  /** Creates an exception with a message that says what to change in the scenario. */
  public InvalidScenarioException(String message) {
    super(message);
  }
}

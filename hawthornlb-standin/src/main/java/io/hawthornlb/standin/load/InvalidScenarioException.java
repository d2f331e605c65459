package io.hawthornlb.standin.load;

import io.hawthornlb.standin.support.InvalidSettingsException;

/** A scenario asks for what the load tool does not do; the message says what to change. */
public final class InvalidScenarioException extends InvalidSettingsException {

  /** Says what to change. */
  public InvalidScenarioException(String message) {
    super(message, null);
  }
}

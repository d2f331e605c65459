package io.hawthornlb.app.logging;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers while the process shuts down.
 *
 * <p>The JDK creates the instance by the class name in a system property; see {@link
 * LogSetup#prepare}.
 */
public final class KeepingLogManager extends LogManager {

  /** Does nothing: the handlers flush every event, so they need not be closed. */
  @Override
  public void reset() {
    // Keeps all handlers; LogSetup.prepare explains why.
  }
}

package io.hawthornlb.app.logging;

import java.util.logging.LogManager;

/** Keeps its handlers while the process shuts down; made by the JDK from its class name. */
public final class KeepingLogManager extends LogManager {

  /** Does nothing; the handlers write without a buffer and need no end. */
  @Override
  public void reset() {
    // See LogSetup.prepare.
  }
}

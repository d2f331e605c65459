package io.hawthornlb.gateway.process;

import sun.misc.Signal;

/**
 * Runs an action on the signal that requests a reload of the settings (SIGHUP).
 *
 * <p>Without a handler, the runtime treats this signal as a request to exit, and processes would
 * end whenever their settings file changes.
 */
public final class ReloadSignal {

  private static final Signal HANGUP = new Signal("HUP");

  private ReloadSignal() {}

  /** Sets the action, which runs on a thread of the runtime. */
  public static void onReload(Runnable action) {
    Signal.handle(HANGUP, signal -> action.run());
  }
}

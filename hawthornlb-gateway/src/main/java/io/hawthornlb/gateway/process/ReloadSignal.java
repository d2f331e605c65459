package io.hawthornlb.gateway.process;

import sun.misc.Signal;

/**
 * Calls an action on the signal that asks a process to read its settings again.
 *
 * <p>Failure: without a handler the runtime takes the signal for one to stop. It shows as processes
 * that end by themselves whenever their settings file changes. Guard: the handler replaces that.
 */
public final class ReloadSignal {

  private static final Signal HANGUP = new Signal("HUP");

  private ReloadSignal() {}

  /** Sets the action; it runs on a thread of the runtime. */
  public static void onReload(Runnable action) {
    Signal.handle(HANGUP, signal -> action.run());
  }
}

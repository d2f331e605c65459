package io.hawthornlb.gateway.process;

import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import sun.misc.Signal;

/**
 * Runs an action on the signal that requests a reload of the settings (SIGHUP).
 *
 * <p>Without a handler, the runtime treats this signal as a request to exit, and processes would
 * end whenever their settings file changes.
 */
public final class ReloadSignal {

  private static final Signal HANGUP = new Signal("HUP");
  private static final AtomicBoolean PENDING = new AtomicBoolean();
  private static volatile @Nullable Runnable action;

  private ReloadSignal() {}

  /**
   * Keeps the signal from ending the process from now on. One that comes before the action is set
   * runs the action then.
   */
  public static void awaitAction() {
    action = null;
    PENDING.set(false);
    Signal.handle(HANGUP, signal -> onSignal());
  }

  /** Sets the action, which runs on a thread of the runtime. */
  public static void onReload(Runnable next) {
    action = next;
    Signal.handle(HANGUP, signal -> onSignal());
    runIfPending(next);
  }

  private static void onSignal() {
    PENDING.set(true);
    Runnable current = action;
    if (current != null) {
      runIfPending(current);
    }
  }

  private static void runIfPending(Runnable current) {
    if (PENDING.getAndSet(false)) {
      current.run();
    }
  }
}

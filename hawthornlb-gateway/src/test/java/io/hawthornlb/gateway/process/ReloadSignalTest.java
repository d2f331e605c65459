package io.hawthornlb.gateway.process;

import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

class ReloadSignalTest {

  /**
   * Guards against processes that exit on a change of their settings file: eight processes ended
   * within two seconds and cut off their callers' requests, because the reload signal ended the
   * runtime.
   */
  @Test
  void reloadsSettingsInsteadOfExiting() {
    AtomicInteger reloads = new AtomicInteger();
    ReloadSignal.onReload(reloads::incrementAndGet);
    Signal.raise(new Signal("HUP"));
    Signal.raise(new Signal("HUP"));
    Awaitility.await().until(() -> reloads.get() >= 1);
  }

  /** Guards against a process that ends because its settings change while it starts. */
  @Test
  void keepsASignalThatComesBeforeItsAction() throws InterruptedException {
    ReloadSignal.awaitAction();
    Signal.raise(new Signal("HUP"));
    // The runtime handles the signal on a thread of its own.
    Thread.sleep(500);
    AtomicInteger reloads = new AtomicInteger();
    ReloadSignal.onReload(reloads::incrementAndGet);
    Awaitility.await().until(() -> reloads.get() == 1);
  }
}

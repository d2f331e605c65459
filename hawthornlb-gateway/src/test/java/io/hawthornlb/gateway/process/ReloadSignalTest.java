package io.hawthornlb.gateway.process;

import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

class ReloadSignalTest {

  /**
   * Eight processes end within two seconds, and their callers' requests are cut. Their settings
   * files had changed, and the signal that tells it ended the runtime.
   */
  @Test
  void readsSettingsAgainInPlaceOfEnding() {
    AtomicInteger reloads = new AtomicInteger();
    ReloadSignal.onReload(reloads::incrementAndGet);
    Signal.raise(new Signal("HUP"));
    Signal.raise(new Signal("HUP"));
    Awaitility.await().until(() -> reloads.get() >= 1);
  }
}

package io.hawthornlb.gateway.loop;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TimerWakesTest {

  private static final int TIMERS = 200;

  /** One select waits for a timer; a second one may follow if the first returned early. */
  private static final int SELECTS_OF_A_TIMER = 2;

  private final AccountedEventLoop loop = AccountedEventLoop.create();
  private final CountDownLatch fired = new CountDownLatch(TIMERS);

  @AfterEach
  void stopTheLoop() {
    loop.shutdownGracefully();
  }

  /**
   * Guards against a loop that selects repeatedly while the next timer is due in less than a
   * millisecond.
   */
  @Test
  void sleepsUntilATimerIsDue() throws Exception {
    long before = selects();
    loop.execute(() -> next(0));
    assertTrue(fired.await(10, TimeUnit.SECONDS));
    long selects = selects() - before;
    assertTrue(selects <= SELECTS_OF_A_TIMER * TIMERS, selects + " selects");
  }

  /** Schedules timers one after the other, due at different fractions of a millisecond. */
  private void next(int number) {
    loop.schedule(() -> fire(number), 1_000 + number * 1_000 / TIMERS, TimeUnit.MICROSECONDS);
  }

  private void fire(int number) {
    fired.countDown();
    if (number + 1 < TIMERS) {
      next(number + 1);
    }
  }

  private long selects() throws Exception {
    return loop.submit(() -> loop.account().count(WorkKind.SELECT)).get();
  }
}

package io.hawthornlb.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** Guards against a build that waits for ever for trial calls which failed or got no answer. */
class BoundedTrialTest {

  private final BoundedTrial trial =
      new BoundedTrial(Duration.ofMillis(200), new PrintStream(OutputStream.nullOutputStream()));

  @Test
  void succeedsWithTheStatusesOfTheCalls() {
    assertEquals(0, trial.run(() -> List.of(200)));
  }

  @Test
  void failsWhenACallFails() {
    assertEquals(
        1,
        trial.run(
            () -> {
              throw new IllegalStateException("address already in use");
            }));
  }

  @Test
  void failsWhenTheCallsDoNotEnd() {
    assertTimeoutPreemptively(
        Duration.ofSeconds(5), () -> assertEquals(1, trial.run(BoundedTrialTest::neverEnd)));
  }

  private static List<Integer> neverEnd() {
    while (true) {
      LockSupport.parkNanos(Duration.ofSeconds(1).toNanos());
    }
  }
}

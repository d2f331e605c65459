package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a forecast that costs online requests or items more than it saves: items that are
 * held back for a peak, or callers that return too late.
 */
class ContendedReplayTest {

  private static ContendedReplay.Result replay(
      int endpoints, boolean cyclic, int surge, boolean contended) {
    return LongStream.rangeClosed(1, 5)
        .parallel()
        .mapToObj(seed -> ContendedReplay.run(seed, endpoints, cyclic, surge, contended))
        .reduce(ContendedReplay.Result::plus)
        .orElseThrow();
  }

  @ParameterizedTest
  @CsvSource({"62,1", "50,1", "62,6", "50,6"})
  void preemptsFewerItemsInCycles(int endpoints, int surge) {
    assertServedAtLeastAsWell(endpoints, surge);
  }

  /** Guards against more refusals where the slots don't suffice at any peak. */
  @Test
  void servesNoFewerRequestsWhereEachPeakExceedsTheSlots() {
    assertServedAtLeastAsWell(44, 1);
  }

  private static void assertServedAtLeastAsWell(int endpoints, int surge) {
    ContendedReplay.Result former = replay(endpoints, true, surge, false);
    ContendedReplay.Result result = replay(endpoints, true, surge, true);
    String seen = "jobs x" + surge + " at " + endpoints + ": " + result + ", former " + former;
    System.out.println("contended: " + seen);
    assertTrue(result.onTime() >= former.onTime(), seen);
    assertTrue(result.refusedTwice() <= former.refusedTwice(), seen);
    assertTrue(result.inTime() >= 0.995 * former.inTime(), seen);
    assertTrue(result.preemptions() < 0.98 * former.preemptions(), seen);
  }

  /** Guards against a reserve for a peak in load that has none. */
  @ParameterizedTest
  @CsvSource({"62,1", "50,6"})
  void servesSteadyLoadAsBefore(int endpoints, int surge) {
    ContendedReplay.Result former = replay(endpoints, false, surge, false);
    ContendedReplay.Result result = replay(endpoints, false, surge, true);
    System.out.println("contended: steady, " + result + ", former " + former);
    assertEquals(former.onTime(), result.onTime());
    assertTrue(result.inTime() >= 0.995 * former.inTime(), former + " " + result);
  }
}

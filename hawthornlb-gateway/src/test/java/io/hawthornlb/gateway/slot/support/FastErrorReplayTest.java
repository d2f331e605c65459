package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FastErrorReplayTest {

  private static final double ALL = 1.0;
  private static final double PART = 0.4;
  private static final double CHANCE = 0.01;

  /** Baseline settings, under which no endpoint ever counts as failing. */
  private static final SlotSettings BASELINE =
      SlotSettings.builder().outlierShare(Double.POSITIVE_INFINITY).build();

  /**
   * Guards against endpoints that fail every request at once: their slots are free again
   * immediately, so they get the next requests, too.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void losesAtMostOneInAHundredToEndpointsThatFailAllRequests(long seed) {
    FastErrorReplay.Result result = replay(seed, SlotSettings.DEFAULT, ALL, 0);
    FastErrorReplay.Result baseline = replay(seed, BASELINE, ALL, 0);
    System.out.println("fast errors: seed " + seed + " " + result + ", baseline " + baseline);
    assertTrue(result.errorShare() <= 0.01, result.toString());
    assertTrue(
        result.servedShare() >= baseline.servedShare(), result + " compared with " + baseline);
  }

  /**
   * Guards against endpoints that fail two requests in five and so have free slots more often than
   * other endpoints.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void losesAtMostAQuarterToEndpointsThatFailSomeRequests(long seed) {
    FastErrorReplay.Result result = replay(seed, SlotSettings.DEFAULT, PART, 0);
    FastErrorReplay.Result baseline = replay(seed, BASELINE, PART, 0);
    String seen = result + " compared with " + baseline;
    System.out.println("part errors: seed " + seed + " " + seen);
    assertTrue(4 * result.errorShare() <= baseline.errorShare(), seen);
    assertTrue(result.servedShare() >= baseline.servedShare(), seen);
  }

  /** Guards against healthy endpoints that are avoided because of errors by chance. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void servesAsManyIfEveryEndpointFailsOneInAHundred(long seed) {
    FastErrorReplay.Result result = replay(seed, SlotSettings.DEFAULT, CHANCE, CHANCE);
    FastErrorReplay.Result baseline = replay(seed, BASELINE, CHANCE, CHANCE);
    String seen = result + " compared with " + baseline;
    System.out.println("chance errors: seed " + seed + " " + seen);
    assertTrue(result.servedShare() >= baseline.servedShare() - 0.01, seen);
  }

  private static FastErrorReplay.Result replay(
      long seed, SlotSettings settings, double failing, double chance) {
    return new FastErrorReplay(seed, settings, failing, chance).run();
  }
}

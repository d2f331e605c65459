package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FastErrorReplayTest {

  private static final double ALL = 1.0;
  private static final double PART = 0.4;
  private static final double CHANCE = 0.01;

  /** Settings under which no endpoint ever counts as failing. */
  private static final SlotSettings NAIVE =
      SlotSettings.builder().outlierShare(Double.POSITIVE_INFINITY).build();

  /** Guards against endpoints that fail all at once, are free at once and get the next ones. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void losesOneInAHundredAtMostToEndpointsThatFailAll(long seed) {
    FastErrorReplay.Result result = replay(seed, SlotSettings.DEFAULT, ALL, 0);
    FastErrorReplay.Result naive = replay(seed, NAIVE, ALL, 0);
    System.out.println("fast errors: seed " + seed + " " + result + ", naive " + naive);
    assertTrue(result.errorShare() <= 0.01, result.toString());
    assertTrue(result.servedShare() >= naive.servedShare(), result + " against " + naive);
  }

  /** Guards against endpoints that fail two in five and are free more often than others. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void losesAQuarterAtMostToEndpointsThatFailAPart(long seed) {
    FastErrorReplay.Result result = replay(seed, SlotSettings.DEFAULT, PART, 0);
    FastErrorReplay.Result naive = replay(seed, NAIVE, PART, 0);
    String seen = result + " against " + naive;
    System.out.println("part errors: seed " + seed + " " + seen);
    assertTrue(4 * result.errorShare() <= naive.errorShare(), seen);
    assertTrue(result.servedShare() >= naive.servedShare(), seen);
  }

  /** Guards against sound endpoints that are left out for errors by chance. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void servesAsManyWhereEachEndpointFailsOneInAHundred(long seed) {
    FastErrorReplay.Result result = replay(seed, SlotSettings.DEFAULT, CHANCE, CHANCE);
    FastErrorReplay.Result naive = replay(seed, NAIVE, CHANCE, CHANCE);
    String seen = result + " against " + naive;
    System.out.println("chance errors: seed " + seed + " " + seen);
    assertTrue(result.servedShare() >= naive.servedShare() - 0.01, seen);
  }

  private static FastErrorReplay.Result replay(
      long seed, SlotSettings settings, double failing, double chance) {
    return new FastErrorReplay(seed, settings, failing, chance).run();
  }
}

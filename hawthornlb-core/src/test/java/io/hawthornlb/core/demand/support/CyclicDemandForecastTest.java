package io.hawthornlb.core.demand.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.demand.LearnedDemand;
import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests of 0.7 s arrive at random at 305 a second, which use 213 slots on average. */
class CyclicDemandForecastTest {

  private static final double MEAN = 305;
  private static final Duration ITEM = Duration.ofMillis(4_500);

  private final CyclicDemandForecast forecast = new CyclicDemandForecast();
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private int millis;

  private static double cycle(int millis) {
    return MEAN * (millis % 6_000 < 3_600 ? 0.391 : 1.91);
  }

  private void play(Random random, int until, IntToDoubleFunction rate) {
    for (; millis < until; millis += 5, now = now.plusMillis(5)) {
      double expected = rate.applyAsDouble(millis) / 200;
      while (random.nextDouble() < expected / (1 + expected)) {
        forecast.arrived(Duration.ofMillis(500 + random.nextInt(400)), now);
      }
    }
  }

  private void assertPredictsNoPeak(String load) {
    double present = forecast.slotsNeeded(now, Duration.ZERO);
    assertEquals(present, forecast.slotsNeeded(now, ITEM), load);
    assertTrue(forecast.phase(now).isEmpty(), load);
  }

  /** Guards against items that are started just before a peak because it isn't foreseen. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void predictsThePeakAfterThreeCycles(long seed) {
    play(new Random(seed), 19_000, CyclicDemandForecastTest::cycle);
    assertEquals(83, forecast.slotsNeeded(now, Duration.ofMillis(1_500)), 30);
    assertEquals(408, forecast.slotsNeeded(now, ITEM), 50);
    LearnedDemand learned = forecast.export(now).orElseThrow();
    assertEquals(3_600, learned.troughLength().toMillis(), 200);
    assertEquals(2_400, learned.peakLength().toMillis(), 200);
    assertFalse(forecast.phase(now).orElseThrow().peak());
    play(new Random(seed), 22_600, CyclicDemandForecastTest::cycle);
    double left = forecast.untilRoom(300, now).toMillis();
    assertEquals(1_400 + 300, left, 400, "the peak ends, and a third of a slot time passes");
  }

  /** Guards against slots that are kept free for a peak that never comes. */
  @Test
  void forgetsCycleThatStops() {
    play(new Random(1), 24_000, CyclicDemandForecastTest::cycle);
    assertTrue(forecast.phase(now).isPresent());
    play(new Random(2), 24_000 + 3_600 * 13 / 10 + 700, any -> 0.391 * MEAN);
    assertPredictsNoPeak("stopped");
  }

  /** Guards against a reserve that is taken from items although the load has no cycle. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void predictsNoPeakWithoutCycle(long seed) {
    Random random = new Random(seed);
    for (int end = 1_000; end <= 60_000; end += 500) {
      play(random, end, any -> MEAN);
      assertPredictsNoPeak("steady at " + end);
    }
    for (int end = 60_000; end <= 90_000; end += 500) {
      play(random, end, any -> 1.5 * MEAN);
      assertPredictsNoPeak("step at " + end);
    }
    for (int end = 90_000; end <= 120_000; end += 500) {
      play(random, end, at -> at % 17_000 < 6_500 ? 1.4 * MEAN : MEAN);
      assertPredictsNoPeak("hot workspace at " + end);
    }
  }

  /** Guards against a cycle that is seen in the fluctuations of a small service. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void seesNoCycleInTheNoiseOfFewArrivals(long seed) {
    Random random = new Random(seed);
    int seen = 0;
    for (int end = 2_000; end <= 122_000; end += 100) {
      play(random, end, any -> 6);
      seen += forecast.phase(now).isPresent() ? 1 : 0;
    }
    assertTrue(seen <= 12, "cycle seen in " + seen + " of 1,200 moments");
  }

  /** Guards against slots kept free without cause when phases have no usual length. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void seldomSeesCycleInPhasesOfRandomLength(long seed) {
    Random random = new Random(seed);
    int seen = 0;
    boolean peak = false;
    for (int end = 0; end < 300_000; peak = !peak) {
      int from = end;
      end += 700 + (int) (-2_500 * Math.log(1 - random.nextDouble()));
      double rate = peak ? 1.91 * MEAN : 0.391 * MEAN;
      for (int at = from; at < end; at += 100) {
        play(random, at, any -> rate);
        seen += forecast.phase(now).isPresent() ? 1 : 0;
      }
    }
    System.out.println("demand: random phases, seed " + seed + ", cycle seen in " + seen);
    assertTrue(seen < 300, "cycle seen in " + seen + " of some 3,000 moments");
  }

  /** Guards against arrivals of a wrong time that count as demand after the clock was set back. */
  @Test
  void dropsTheFutureWhenTheClockIsSetBack() {
    play(new Random(1), 20_000, CyclicDemandForecastTest::cycle);
    now = now.minusSeconds(10);
    assertTrue(forecast.slotsNeeded(now, Duration.ZERO) < 500);
    now = now.minusSeconds(3_600);
    assertEquals(0, forecast.slotsNeeded(now, ITEM));
    play(new Random(2), 40_000, CyclicDemandForecastTest::cycle);
    assertTrue(forecast.phase(now).isPresent());
    now = now.plusSeconds(3_600);
    assertEquals(0, forecast.slotsNeeded(now, ITEM));
  }

  /** Guards against a successor that foresees no peak until it has seen three cycles itself. */
  @Test
  void usesRestoredCycleFromTheFirstChangeOfLevel() {
    LearnedDemand learned =
        new LearnedDemand(83, 408, Duration.ofMillis(3_600), Duration.ofMillis(2_400));
    forecast.restore(new LearnedDemand(408, 83, Duration.ZERO, Duration.ZERO));
    assertTrue(forecast.export(now).isEmpty());
    forecast.restore(learned);
    millis = 5_000;
    play(new Random(1), 6_000, CyclicDemandForecastTest::cycle);
    assertTrue(forecast.phase(now).isEmpty());
    play(new Random(1), 6_600, CyclicDemandForecastTest::cycle);
    assertFalse(forecast.phase(now).orElseThrow().peak());
    assertEquals(408, forecast.slotsNeeded(now, ITEM), 1);
    assertEquals(learned, forecast.export(now).orElseThrow());
  }
}

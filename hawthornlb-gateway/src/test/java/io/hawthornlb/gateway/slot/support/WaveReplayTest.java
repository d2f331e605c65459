package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates waves of requests that fill all slots for 2.4 s of every 6 s, beside batch items that
 * would use the slots for 5 s each. Without a coordinator each gateway sees only its own requests,
 * so at peak load online requests wait behind items, or behind each other at one endpoint while
 * another endpoint is idle.
 */
class WaveReplayTest {

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void servesMorePeakRequestsOnTimeThanIndependentGateways(long seed) {
    WaveReplay.Result coordinated = WaveReplay.coordinated(seed).run();
    WaveReplay.Result independent = WaveReplay.independent(seed).run();
    String seen = "coordinated " + coordinated + ", independent " + independent;
    assertTrue(coordinated.onTimeShare() >= 0.97, seen);
    assertTrue(coordinated.onTimeShare() >= independent.onTimeShare() + 0.03, seen);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void finishesAsManyItemsAsTheIdleSlotsAllow(long seed) {
    WaveReplay.Result coordinated = WaveReplay.coordinated(seed).run();
    WaveReplay.Result independent = WaveReplay.independent(seed).run();
    String seen = "coordinated " + coordinated + ", independent " + independent;
    assertTrue(coordinated.itemMillis() >= 0.9 * independent.itemMillis(), seen);
  }

  @Test
  void repeatsFromItsSeed() {
    assertEquals(WaveReplay.coordinated(9).run(), WaveReplay.coordinated(9).run());
  }
}

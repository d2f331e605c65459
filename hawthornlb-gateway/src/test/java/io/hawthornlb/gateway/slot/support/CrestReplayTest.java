package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays waves that fill all slots for 2.4 s of every 6 s, beside batch items that would fill them
 * for 5 s each. Callers of a crest wait behind items, or behind each other at one endpoint while
 * another one idles, because each gateway sees only its own requests.
 */
class CrestReplayTest {

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void servesMoreOfACrestOnTimeThanGatewaysThatPlaceAlone(long seed) {
    WaveReplay.Result coordinated = WaveReplay.coordinated(seed).run();
    WaveReplay.Result alone = WaveReplay.alone(seed).run();
    String seen = "coordinated " + coordinated + ", alone " + alone;
    assertTrue(coordinated.onTimeShare() >= 0.97, seen);
    assertTrue(coordinated.onTimeShare() >= alone.onTimeShare() + 0.03, seen);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void finishesAsManyItemsAsTheIdleSlotsAllow(long seed) {
    WaveReplay.Result coordinated = WaveReplay.coordinated(seed).run();
    WaveReplay.Result alone = WaveReplay.alone(seed).run();
    String seen = "coordinated " + coordinated + ", alone " + alone;
    assertTrue(coordinated.itemMillis() >= 0.9 * alone.itemMillis(), seen);
  }

  @Test
  void repeatsFromItsSeed() {
    assertEquals(WaveReplay.coordinated(9).run(), WaveReplay.coordinated(9).run());
  }
}

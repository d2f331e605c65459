package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.slot.support.PaceReplay.Policy;
import io.hawthornlb.gateway.slot.support.PaceReplay.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares placement with and without the paces of endpoints. Guards against first events that come
 * late because requests go to an endpoint that is slow while a faster one is free.
 */
class PaceReplayTest {

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void servesMoreRequestsOnTimeByPace(long seed) {
    Result existing = new PaceReplay(seed, Policy.EXISTING).run();
    Result paced = new PaceReplay(seed, Policy.PACED).run();
    Result moving = new PaceReplay(seed, Policy.PACED_MOVING).run();
    System.out.println("pace: seed " + seed + " existing: " + existing);
    System.out.println("pace: seed " + seed + " paced: " + paced);
    System.out.println("pace: seed " + seed + " paced, items moved: " + moving);
    String seen = paced + " compared with " + existing;
    assertTrue(paced.onTime() > existing.onTime(), seen);
    assertTrue(paced.meanMillis() < existing.meanMillis(), seen);
    assertTrue(paced.itemsInTime() >= existing.itemsInTime(), seen);
  }
}

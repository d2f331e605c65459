package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SilentEndpointsReplayTest {

  /**
   * Guards against silent endpoints that keep getting requests until the first deadline has passed.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void losesAtMostOneInAHundredToSilentEndpoints(long seed) {
    SilentEndpointsReplay.Result result = new SilentEndpointsReplay(seed).run();
    System.out.println("silent endpoints: seed " + seed + " " + result);
    assertTrue(result.lostShare() <= 0.01, result.toString());
  }
}

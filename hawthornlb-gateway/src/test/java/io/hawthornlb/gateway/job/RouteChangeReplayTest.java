package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class RouteChangeReplayTest {

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 20);
  }

  /** Guards against items that wait for ever for a removed route, or end while they have one. */
  @ParameterizedTest
  @MethodSource("seeds")
  void givesItemsUpWithTheirRouteAndNeverBefore(long seed) {
    for (boolean removed : new boolean[] {true, false}) {
      RouteChangeReplay replay = new RouteChangeReplay(seed);
      assertEquals(List.of(), replay.run(removed), "seed " + seed);
      assertTrue(!removed || replay.givenUp() > 0, "no item was given up with seed " + seed);
    }
  }
}

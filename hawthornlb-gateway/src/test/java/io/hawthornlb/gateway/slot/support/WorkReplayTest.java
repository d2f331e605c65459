package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against waits that are estimated from the length of the last ten uses, although requests
 * are of unequal size: requests then wait in vain, or are refused although they would be in time.
 */
class WorkReplayTest {

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void refusesFewerRequestsTooLateOrNeedlessly(boolean hotWorkspace) {
    int wrong = 0;
    int baselineWrong = 0;
    for (long seed = 1; seed <= 5; seed++) {
      WorkReplay.Result sized = new WorkReplay(seed, true, hotWorkspace).run();
      WorkReplay.Result baseline = new WorkReplay(seed, false, hotWorkspace).run();
      System.out.println("work: seed " + seed + " sized " + sized + ", baseline " + baseline);
      wrong += sized.late() + sized.needless();
      baselineWrong += baseline.late() + baseline.needless();
      assertTrue(sized.inTime() >= 0.99 * baseline.inTime(), sized + " compared with " + baseline);
    }
    System.out.println("work: wrongly decided " + wrong + ", baseline " + baselineWrong);
    assertTrue(wrong < baselineWrong, wrong + " compared with " + baselineWrong);
  }
}

package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * After all gateways have restarted, nearly all batch items finish a few seconds late. More items
 * wait than fit into the slots that are free between the load peaks. If items that became late
 * while they waited keep their position in the order, the items behind them become late as well.
 */
class BacklogReplayTest {

  /**
   * Settings under which only the holder checks, when it requests a slot, whether its item can
   * finish in time; the coordinator does not check again.
   */
  private static final SlotSettings ONCE = SlotSettings.builder().lateItemsLast(false).build();

  @Test
  void finishesMoreItemsInTimeThanWithASingleCheck() {
    int inTime = 0;
    int inTimeWithOneCheck = 0;
    for (long seed = 1; seed <= 5; seed++) {
      BacklogReplay.Result repeated = new BacklogReplay(seed, SlotSettings.DEFAULT).run();
      BacklogReplay.Result once = new BacklogReplay(seed, ONCE).run();
      System.out.println("backlog: seed " + seed + " repeated " + repeated + ", one check " + once);
      inTime += repeated.inTime();
      inTimeWithOneCheck += once.inTime();
      assertTrue(repeated.soon() >= 0.99 * once.soon(), repeated + " compared with " + once);
    }
    assertTrue(inTime >= 1.1 * inTimeWithOneCheck, inTime + " compared with " + inTimeWithOneCheck);
  }
}

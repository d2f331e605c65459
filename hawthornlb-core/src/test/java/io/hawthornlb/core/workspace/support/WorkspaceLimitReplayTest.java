package io.hawthornlb.core.workspace.support;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.workspace.support.WorkspaceLimitReplay.Event;
import io.hawthornlb.core.workspace.support.WorkspaceLimitReplay.Result;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class WorkspaceLimitReplayTest {

  private static final int SEEDS = 10;

  /** Share of the requests below a limit that may be refused, over all events and seeds. */
  private static final double MAX_REFUSED = 0.01;

  /** Guards against a workspace that runs more than its limit allows in some window. */
  @ParameterizedTest
  @EnumSource(Event.class)
  void staysWithinTheLimitInEveryWindow(Event event) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Result result = new WorkspaceLimitReplay(LedgerFleet::new, event, seed).run();
      assertTrue(result.beyond() <= 0, event + " with seed " + seed + ": " + result);
    }
  }

  /** Guards against refusing requests of workspaces that stay below their limits. */
  @ParameterizedTest
  @EnumSource(Event.class)
  void refusesFewRequestsBelowTheLimit(Event event) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      Result result = new WorkspaceLimitReplay(LedgerFleet::new, event, seed).run();
      assertTrue(
          result.refusedSmall() <= MAX_REFUSED * result.sentSmall(),
          event + " with seed " + seed + ": " + result);
    }
  }
}

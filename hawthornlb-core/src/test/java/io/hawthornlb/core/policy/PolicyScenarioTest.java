package io.hawthornlb.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Short seeded runs in virtual time, with the aims that hold for every seed. */
class PolicyScenarioTest {

  private static final int SECONDS = 40;
  private static final long SEED = 7;

  static Fleet[] fleets() {
    return new Fleet[] {Fleet.VATUWAQA, Fleet.AL_HARTHY};
  }

  // A store hand waits seconds for the first word: batch items hold all slots of the engine, and
  // the engine knows no priorities.
  @ParameterizedTest
  @MethodSource("fleets")
  void noOnlineRequestWaitsBehindBatchWork(Fleet fleet) {
    RunResult naive = run(fleet, Scenario.burst(SECONDS), PolicySet.naive(true));
    RunResult guarded = run(fleet, Scenario.burst(SECONDS), PolicySet.guarded(true));
    assertTrue(naive.behindBatch > 100, "the naive twin");
    assertEquals(0, guarded.behindBatch);
    assertTrue(guarded.longestWaitMicros <= 50_000, () -> "µs " + guarded.longestWaitMicros);
  }

  @ParameterizedTest
  @MethodSource("fleets")
  void batchUsesWhatOnlineLeavesWithinItsWeight(Fleet fleet) {
    Scenario scenario = Scenario.steady(0.4, Scenario.DEFAULT_LAG, SECONDS);
    PolicySet throughput = PolicySet.guarded(true).withWeight(1);
    assertTrue(run(fleet, scenario, throughput).partOfBound() >= 0.95);
    RunResult alone = run(fleet, scenario, PolicySet.guarded(false));
    RunResult careful = run(fleet, scenario, PolicySet.guarded(true).withWeight(0));
    RunResult naive = run(fleet, scenario, PolicySet.naive(true));
    assertTrue(careful.answerMillis(0.99) <= 1.06 * alone.answerMillis(0.99));
    assertTrue(run(fleet, scenario, throughput).answerMillis(0.99) < naive.answerMillis(0.99));
  }

  // No answer comes at all when ten times the load comes: all requests are taken, they wait in one
  // queue, and each that is served has been given up by its caller.
  @ParameterizedTest
  @MethodSource("fleets")
  void tenTimesTheLoadIsRefusedAndAcceptedRequestsKeepTheirTime(Fleet fleet) {
    Scenario scenario = Scenario.overload(SECONDS);
    RunResult naive = run(fleet, scenario, PolicySet.naive(true));
    RunResult guarded = run(fleet, scenario, PolicySet.guarded(true));
    assertEquals(0, naive.onlineDone(), "the naive twin answers no request in time");
    assertTrue(guarded.onlineRefused > guarded.onlineDone(), "most are refused");
    assertTrue(guarded.firstMillis(0.99) <= 2_500, () -> "ms " + guarded.firstMillis(0.99));
    assertTrue(guarded.onlineDone() > fleet.engines() * SECONDS);
  }

  // The crew bus leaves without the notes: an endless job was accepted before the roster's.
  @ParameterizedTest
  @MethodSource("fleets")
  void theRosterIsReadyWhenItIsDue(Fleet fleet) {
    Scenario scenario = Scenario.roster(fleet.engines() * SECONDS, SECONDS);
    assertTrue(run(fleet, scenario, PolicySet.naive(true)).dueLate > 0, "the naive twin");
    assertEquals(0, run(fleet, scenario, PolicySet.guarded(true)).dueLate);
  }

  // Coordinators get errors while one data centre is cut off, although each side has engines.
  @ParameterizedTest
  @MethodSource("fleets")
  void aCutFailsFewerRequestsThanTheNaiveTwin(Fleet fleet) {
    Scenario scenario = Scenario.centreCut(SECONDS);
    RunResult naive = run(fleet, scenario, PolicySet.naive(true));
    RunResult guarded = run(fleet, scenario, PolicySet.guarded(true));
    assertTrue(naive.onlineFailed > 50, "the naive twin");
    assertTrue(guarded.onlineFailed <= 5, () -> "failed " + guarded.onlineFailed);
  }

  @ParameterizedTest
  @MethodSource("fleets")
  void anEngineLostUnderLoadFailsNoRequest(Fleet fleet) {
    Scenario scenario = Scenario.engineLost(SECONDS);
    assertEquals(0, run(fleet, scenario, PolicySet.guarded(true)).onlineFailed);
  }

  private static RunResult run(Fleet fleet, Scenario scenario, PolicySet policy) {
    return FleetRun.run(fleet, scenario, policy, SEED);
  }
}

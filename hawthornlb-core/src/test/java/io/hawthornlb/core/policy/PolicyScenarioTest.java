package io.hawthornlb.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Short simulations in virtual time, with seeds, that check objectives which hold for every seed.
 */
class PolicyScenarioTest {

  private static final int SECONDS = 40;
  private static final long SEED = 7;

  static Fleet[] fleets() {
    return new Fleet[] {Fleet.VATUWAQA, Fleet.AL_HARTHY};
  }

  // Guards against online requests that wait seconds for their first token: batch items hold all
  // slots of the engine, and the engine has no priorities.
  @ParameterizedTest
  @MethodSource("fleets")
  void noOnlineRequestWaitsBehindBatchWork(Fleet fleet) {
    RunResult baseline = run(fleet, Scenario.burst(SECONDS), PolicySet.baseline(true));
    RunResult standard = run(fleet, Scenario.burst(SECONDS), PolicySet.standard(true));
    assertTrue(baseline.behindBatch > 100, "the baseline");
    assertEquals(0, standard.behindBatch);
    assertTrue(standard.longestWaitMicros <= 50_000, () -> "µs " + standard.longestWaitMicros);
  }

  @ParameterizedTest
  @MethodSource("fleets")
  void batchUsesTheSlotsThatOnlineRequestsLeaveAccordingToItsWeight(Fleet fleet) {
    Scenario scenario = Scenario.steady(0.4, Scenario.DEFAULT_LAG, SECONDS);
    PolicySet throughput = PolicySet.standard(true).withWeight(1);
    assertTrue(run(fleet, scenario, throughput).fractionOfBound() >= 0.95);
    RunResult onlineOnly = run(fleet, scenario, PolicySet.standard(false));
    RunResult latencyFirst = run(fleet, scenario, PolicySet.standard(true).withWeight(0));
    RunResult baseline = run(fleet, scenario, PolicySet.baseline(true));
    assertTrue(latencyFirst.answerMillis(0.99) <= 1.06 * onlineOnly.answerMillis(0.99));
    assertTrue(run(fleet, scenario, throughput).answerMillis(0.99) < baseline.answerMillis(0.99));
  }

  // Guards against an overload of ten times the capacity in which no caller gets an answer: all
  // requests are accepted and wait in one queue, and the caller of each served request has already
  // given up.
  @ParameterizedTest
  @MethodSource("fleets")
  void excessLoadIsRefusedAndAcceptedRequestsStayOnTime(Fleet fleet) {
    Scenario scenario = Scenario.overload(SECONDS);
    RunResult baseline = run(fleet, scenario, PolicySet.baseline(true));
    RunResult standard = run(fleet, scenario, PolicySet.standard(true));
    assertEquals(0, baseline.onlineDone(), "the baseline answers no request in time");
    assertTrue(standard.onlineRefused > standard.onlineDone(), "most are refused");
    assertTrue(standard.firstMillis(0.99) <= 2_500, () -> "ms " + standard.firstMillis(0.99));
    assertTrue(standard.onlineDone() > fleet.engines() * SECONDS);
  }

  // Guards against a job that misses its due time because an endless job was accepted before it.
  @ParameterizedTest
  @MethodSource("fleets")
  void theDueJobFinishesInTime(Fleet fleet) {
    Scenario scenario = Scenario.dueJob(fleet.engines() * SECONDS, SECONDS);
    assertTrue(run(fleet, scenario, PolicySet.baseline(true)).dueLate > 0, "the baseline");
    assertEquals(0, run(fleet, scenario, PolicySet.standard(true)).dueLate);
  }

  // Guards against errors while one data centre is cut off, although each side has engines.
  @ParameterizedTest
  @MethodSource("fleets")
  void aNetworkPartitionFailsFewRequestsUnlikeTheBaseline(Fleet fleet) {
    Scenario scenario = Scenario.centreCutOff(SECONDS);
    RunResult baseline = run(fleet, scenario, PolicySet.baseline(true));
    RunResult standard = run(fleet, scenario, PolicySet.standard(true));
    assertTrue(baseline.onlineFailed > 50, "the baseline");
    assertTrue(standard.onlineFailed <= 5, () -> "failed " + standard.onlineFailed);
  }

  @ParameterizedTest
  @MethodSource("fleets")
  void anEngineLostUnderLoadFailsNoRequest(Fleet fleet) {
    Scenario scenario = Scenario.engineLost(SECONDS);
    assertEquals(0, run(fleet, scenario, PolicySet.standard(true)).onlineFailed);
  }

  private static RunResult run(Fleet fleet, Scenario scenario, PolicySet policy) {
    return FleetRun.run(fleet, scenario, policy, SEED);
  }
}

package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;

/**
 * Simulates a fleet in which five endpoints answer with errors immediately, for two seconds out of
 * every six.
 */
final class FastErrorReplay extends FleetReplay {

  private static final int FAILING = 5;
  private static final int ARRIVE_MILLIS = 17_000;
  private static final int RUN_MILLIS = 18_000;
  private static final int ERROR_MILLIS = 2;

  private final double failingShare;
  private final double chanceShare;
  private int errors;
  private int served;

  /** Counts of requests by outcome; requests in neither count were refused. */
  record Result(int asked, int served, int errors) {

    double errorShare() {
      return (double) errors / asked;
    }

    double servedShare() {
      return (double) served / asked;
    }
  }

  /**
   * Creates a simulation.
   *
   * @param failingShare share of requests that failing endpoints answer with an error
   * @param chanceShare share of requests that every other endpoint, or a failing one outside its
   *     failing time, answers with an error
   */
  FastErrorReplay(long seed, SlotSettings settings, double failingShare, double chanceShare) {
    super(seed, settings, FAILING);
    this.failingShare = failingShare;
    this.chanceShare = chanceShare;
  }

  Result run() {
    replay(ARRIVE_MILLIS, RUN_MILLIS);
    return new Result(asked(), served, errors);
  }

  @Override
  void use(SlotRequest request, String endpoint) {
    boolean fails = random.nextDouble() < (failsNow(endpoint) ? failingShare : chanceShare);
    int length = fails ? ERROR_MILLIS : usualLength();
    time.at(time.now() + length, () -> end(request, fails));
  }

  private void end(SlotRequest request, boolean fails) {
    errors += fails ? 1 : 0;
    served += fails ? 0 : 1;
    release(request, fails ? SlotOutcome.ERROR : SlotOutcome.ANSWERED);
  }

  /**
   * Returns whether an endpoint is failing now: faulty endpoints fail during the second half of a
   * load peak and at its end.
   */
  private boolean failsNow(String endpoint) {
    return faulty(endpoint) && time.now() % 6_000 >= 4_000;
  }
}

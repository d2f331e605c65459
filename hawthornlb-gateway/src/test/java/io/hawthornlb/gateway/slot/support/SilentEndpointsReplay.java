package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;

/**
 * Simulates a fleet in which seven endpoints accept requests and stay silent for 7.7 s. Two of five
 * requests may be retried at another endpoint; the others wait for their deadline.
 */
final class SilentEndpointsReplay extends FleetReplay {

  private static final int SILENT = 7;
  private static final int ARRIVE_MILLIS = 14_000;
  private static final int RUN_MILLIS = 20_000;
  private static final int SILENT_FROM = 6_000;
  private static final int SILENT_UNTIL = 13_700;
  private static final double MOVABLE = 0.4;
  private static final int SUSPICIOUS_MILLIS = 240;
  private static final int STALLED_MILLIS = 600;
  private static final int DEADLINE_MILLIS = 5_000;

  private int served;
  private int lost;

  /** Counts of requests by outcome; requests in neither count were refused. */
  record Result(int asked, int served, int lost) {

    double lostShare() {
      return (double) lost / asked;
    }
  }

  SilentEndpointsReplay(long seed) {
    super(seed, SlotSettings.DEFAULT, SILENT);
  }

  Result run() {
    replay(ARRIVE_MILLIS, RUN_MILLIS);
    return new Result(asked(), served, lost);
  }

  @Override
  void use(SlotRequest request, String endpoint) {
    int begun = time.now();
    if (!faulty(endpoint) || begun < SILENT_FROM || begun >= SILENT_UNTIL) {
      time.at(begun + usualLength(), () -> end(request, SlotOutcome.ANSWERED));
      return;
    }
    suspectAt(begun + SUSPICIOUS_MILLIS, request);
    if (random.nextDouble() < MOVABLE) {
      time.at(begun + STALLED_MILLIS, () -> move(request));
      return;
    }
    for (int at = STALLED_MILLIS; at < DEADLINE_MILLIS; at += STALLED_MILLIS) {
      suspectAt(begun + at, request);
    }
    time.at(begun + DEADLINE_MILLIS, () -> end(request, SlotOutcome.FAILED));
  }

  private void suspectAt(int millis, SlotRequest request) {
    time.at(millis, () -> fixture.coordinator.suspect(request.key(), fixture.now));
  }

  private void move(SlotRequest request) {
    release(request, SlotOutcome.FAILED);
    ask(request.dataCentre());
  }

  private void end(SlotRequest request, SlotOutcome outcome) {
    served += outcome == SlotOutcome.ANSWERED ? 1 : 0;
    lost += outcome == SlotOutcome.FAILED ? 1 : 0;
    release(request, outcome);
  }
}

package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.RefusalCause;
import io.hawthornlb.gateway.slot.RefusalReason;
import io.hawthornlb.gateway.slot.SizeClass;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;

/**
 * The decisions of a coordinator that differ where callers compete for capacity: charges by work,
 * early rejection, reservations of retries and stated reasons of refusals. Without contention each
 * request counts as one unit, and none of the rules applies.
 */
final class Contention {

  /** Smallest charge; a request that is cheap to run still takes a slot and a decision. */
  private static final double MIN_UNITS = 0.25;

  /** Largest charge, so that the largest requests are not starved. */
  private static final double MAX_UNITS = 4;

  private final boolean active;
  private final ServiceEstimates estimates;
  private final Turns turns;
  private final Retries retries;
  private final DataCentreWeights weights = new DataCentreWeights();
  private final QueueShares shares = new QueueShares(weights);

  Contention(SlotSettings settings, ServiceEstimates estimates) {
    this.active = settings.scheduling().contended();
    this.estimates = estimates;
    this.turns = active ? new WorkTurns(weights) : new FairTurns();
    this.retries = active ? new RetryReservations() : new RefusedCallers(settings);
  }

  Turns turns() {
    return turns;
  }

  Retries retries() {
    return retries;
  }

  /** Returns the work that a request is charged, in units of the usual work of the service. */
  double units(SlotRequest request) {
    if (!active || request.batch()) {
      return 1;
    }
    double usual = Math.max(1, estimates.usualWork().toMillis());
    double units = estimates.wholeWork(request).toMillis() / usual;
    return Math.max(MIN_UNITS, Math.min(MAX_UNITS, units));
  }

  /** Records the arrival of an online request. */
  void arrived(SlotRequest request, Instant now) {
    if (active) {
      double units = units(request);
      weights.arrived(request.dataCentre(), units, now);
      shares.arrived(Flow.of(request), units, now);
    }
  }

  /** Records that a request waits, or that it no longer does. */
  void waits(Waiter waiter, boolean waiting) {
    if (!active || waiter.request().batch()) {
      return;
    }
    Flow flow = Flow.of(waiter.request());
    if (waiting) {
      shares.added(flow, waiter.units());
    } else {
      shares.removed(flow, waiter.units());
    }
  }

  /**
   * Returns whether a request exceeds the share of its workspace, so that it is refused on arrival.
   * Requests of anonymous callers have no share; those that an endpoint has seen, and those that
   * hold a reservation, are not refused by this rule.
   *
   * @param slots number of slots of all endpoints
   */
  boolean exceedsShare(Waiter waiter, int slots, Instant now) {
    SlotRequest request = waiter.request();
    boolean exempt =
        !active
            || request.batch()
            || !request.charged()
            || !request.excluded().isEmpty()
            || waiter.standing() != Retries.Standing.NEW;
    double perMilli = slots / Math.max(1.0, estimates.usualWork().toMillis());
    return !exempt
        && shares.exceeded(Flow.of(request), waiter.units(), perMilli, request.maxWait(), now);
  }

  /** Returns the room that is expected with a number of slots. */
  ExpectedRoom room(int slots) {
    return new ExpectedRoom(estimates.demand(), slots);
  }

  /**
   * Returns the reason of a refusal as reported to the caller's gateway.
   *
   * @param unitsAhead work ahead of the request
   */
  RefusalReason reason(SlotRequest request, RefusalCause cause, double unitsAhead) {
    if (cause == RefusalCause.VERSION_GONE) {
      return RefusalReason.VERSION_GONE;
    }
    if (!active || request.batch()) {
      return RefusalReason.UNKNOWN;
    }
    Duration ahead = Duration.ofMillis((long) (unitsAhead * estimates.usualWork().toMillis()));
    return new RefusalReason(cause, SizeClass.of(units(request)), ahead);
  }
}

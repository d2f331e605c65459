package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.demand.DemandForecast;
import io.hawthornlb.core.demand.support.CyclicDemandForecast;
import io.hawthornlb.core.pace.PaceTable;
import io.hawthornlb.core.pace.support.UniformPaceTable;
import io.hawthornlb.core.work.WorkEstimator;
import io.hawthornlb.core.work.support.MeanWorkEstimator;
import io.hawthornlb.gateway.slot.DemandReport;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * What a coordinator has learned about its service: the work of requests, the pace of endpoints and
 * the demand of online requests.
 *
 * <p>Nothing safe depends on these estimates. They are in effect only if the deployment's settings
 * or the endpoints' reports call for them; see {@link #active()}.
 */
final class ServiceEstimates {

  private static final Duration REPORTED_AHEAD = Duration.ofSeconds(1);

  private final SchedulingSettings settings;
  private final WorkEstimator work = new MeanWorkEstimator();
  private final PaceTable paces = new UniformPaceTable();
  private final DemandForecast demand = new CyclicDemandForecast();

  ServiceEstimates(SchedulingSettings settings) {
    this.settings = settings;
  }

  /** Returns whether decisions use the estimates of work and demand. */
  boolean active() {
    return settings.contended() || paces.active();
  }

  /** Returns the time for which a whole request uses a slot of an endpoint of usual pace. */
  Duration wholeWork(SlotRequest request) {
    return work.estimate(request.size(), request.workspace());
  }

  PaceTable paces() {
    return paces;
  }

  DemandForecast demand() {
    return demand;
  }

  /**
   * Returns the forecast beside the actual demand; empty unless decisions use the forecast.
   *
   * @param actual slots that online requests use or wait for
   */
  Optional<DemandReport> demandReport(int actual, Instant now) {
    if (!active()) {
      return Optional.empty();
    }
    double forecast = demand.slotsNeeded(now, REPORTED_AHEAD);
    return Optional.of(new DemandReport(actual, forecast, demand.phase(now)));
  }

  /** Records the arrival of an online request. */
  void arrived(SlotRequest request, Instant now) {
    if (active()) {
      demand.arrived(wholeWork(request), now);
    }
  }

  /** Learns from the use of an online request that an endpoint has answered. */
  void answered(SlotLease lease, Instant now) {
    if (!active()) {
      return;
    }
    Duration used = Duration.between(lease.since(), now);
    Duration estimated = work.estimate(lease.size(), lease.workspace());
    paces.completed(lease.endpoint(), estimated, used, now);
    double factor = paces.lastingFactor(lease.endpoint());
    Duration usual = Duration.ofMillis((long) (used.toMillis() / factor));
    work.completed(lease.size(), lease.workspace(), usual);
  }
}

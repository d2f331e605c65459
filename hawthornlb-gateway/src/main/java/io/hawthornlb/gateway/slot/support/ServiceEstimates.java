package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.demand.DemandForecast;
import io.hawthornlb.core.demand.support.RecentDemandForecast;
import io.hawthornlb.core.pace.PaceTable;
import io.hawthornlb.core.pace.support.UniformPaceTable;
import io.hawthornlb.core.work.WorkEstimator;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.core.work.support.MeanWorkEstimator;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;

/**
 * What a coordinator has learned about its service: the work of requests, the pace of endpoints and
 * the demand of online requests.
 *
 * <p>Nothing safe depends on these estimates. They are in effect only if the deployment's settings
 * or the endpoints' reports call for them; see {@link #active()}.
 */
final class ServiceEstimates {

  private final SchedulingSettings settings;
  private final WorkEstimator work;
  private final PaceTable paces = new UniformPaceTable();
  private final DemandForecast demand = new RecentDemandForecast();

  ServiceEstimates(SchedulingSettings settings) {
    this(settings, new MeanWorkEstimator());
  }

  ServiceEstimates(SchedulingSettings settings, WorkEstimator work) {
    this.settings = settings;
    this.work = work;
  }

  /** Returns whether decisions use the estimates of work and demand. */
  boolean active() {
    return settings.contended() || paces.active();
  }

  /** Returns the time for which a whole request uses a slot of an endpoint of usual pace. */
  Duration wholeWork(SlotRequest request) {
    return work.estimate(request.size(), request.workspace());
  }

  /** Returns the work of a request of the service's usual size. */
  Duration usualWork() {
    return work.estimate(WorkSize.NONE, null);
  }

  PaceTable paces() {
    return paces;
  }

  DemandForecast demand() {
    return demand;
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

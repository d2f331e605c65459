package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.demand.DemandForecast;
import io.hawthornlb.core.demand.support.RecentDemandForecast;
import io.hawthornlb.core.learned.LearnedState;
import io.hawthornlb.core.learned.LearnedStateSource;
import io.hawthornlb.core.pace.PaceTable;
import io.hawthornlb.core.pace.support.UniformPaceTable;
import io.hawthornlb.core.work.WorkEstimator;
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
final class ServiceEstimates implements LearnedStateSource {

  private final SchedulingSettings settings;
  private final WorkEstimator work = new MeanWorkEstimator();
  private final PaceTable paces = new UniformPaceTable();
  private final DemandForecast demand = new RecentDemandForecast();

  ServiceEstimates(SchedulingSettings settings) {
    this.settings = settings;
  }

  @Override
  public boolean active() {
    return settings.contended() || paces.active();
  }

  /** Returns no figures: the baselines learn none that would help a successor. */
  @Override
  public LearnedState export(Instant now) {
    return LearnedState.EMPTY;
  }

  @Override
  public void restore(LearnedState state, Duration age) {}

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

package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.demand.DemandForecast;
import io.hawthornlb.core.demand.support.CyclicDemandForecast;
import io.hawthornlb.core.learned.LearnedState;
import io.hawthornlb.core.learned.LearnedStateSource;
import io.hawthornlb.core.learned.LoadCycle;
import io.hawthornlb.core.pace.support.ObservedPaceTable;
import io.hawthornlb.core.work.support.LearningWorkEstimator;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
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
final class ServiceEstimates implements LearnedStateSource {

  private static final Duration REPORTED_AHEAD = Duration.ofSeconds(1);

  private final SchedulingSettings settings;
  private final EndpointDirectory directory;
  private final LearningWorkEstimator work = new LearningWorkEstimator();
  private final ObservedPaceTable paces = new ObservedPaceTable();
  private final CyclicDemandForecast demand = new CyclicDemandForecast();

  /**
   * Creates estimates that have learned nothing.
   *
   * @param directory tells which incarnation of an endpoint a pace belongs to
   */
  ServiceEstimates(SchedulingSettings settings, EndpointDirectory directory) {
    this.settings = settings;
    this.directory = directory;
  }

  @Override
  public boolean active() {
    return settings.contended() || paces.active();
  }

  @Override
  public LearnedState export(Instant now) {
    LoadCycle cycle = demand.export(now).map(EstimateSnapshots::cycle).orElse(null);
    return EstimateSnapshots.of(work.export(), paces.export(), directory).loadCycle(cycle).build();
  }

  @Override
  public void restore(LearnedState state, Duration age, Instant now) {
    EstimateSnapshots.work(state, work.export()).ifPresent(work::restore);
    paces.restore(EstimateSnapshots.paces(state), now);
    LoadCycle cycle = state.loadCycle();
    if (cycle != null) {
      demand.restore(EstimateSnapshots.demand(cycle));
    }
  }

  /** Returns the time for which a whole request uses a slot of an endpoint of usual pace. */
  Duration wholeWork(SlotRequest request) {
    return work.estimate(request.size(), request.workspace());
  }

  /** Returns the time that a waiting request occupies a slot; zero if no decision uses it. */
  Duration queuedWork(SlotRequest request) {
    if (!active()) {
      return Duration.ZERO;
    }
    return request.batch() ? request.work() : wholeWork(request);
  }

  /**
   * Returns the time until a slot is free for a request.
   *
   * @param ahead work of the requests before it
   * @param others number of further requests before it whose work is not known
   * @param capacity slots of all endpoints, in slots of an endpoint of usual pace
   */
  Duration untilSlot(Duration ahead, int others, double capacity) {
    double usual = work.usual().toNanos();
    double whole = ahead.toNanos() + (others + 1) * usual;
    return Duration.ofNanos((long) (capacity > 0 ? whole / capacity : usual));
  }

  /** Returns the work of a request of the service's usual size. */
  Duration usualWork() {
    return work.usual();
  }

  LearningWorkEstimator work() {
    return work;
  }

  ObservedPaceTable paces() {
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

  /**
   * Learns from a use that an endpoint has answered. The use of a batch item shows times per token
   * only, since items are longer than the requests that are estimated here.
   */
  void answered(SlotLease lease, Instant now) {
    if (!active() || !lease.whole()) {
      return;
    }
    Duration used = Duration.between(lease.since(), now);
    if (lease.batch()) {
      work.learnTokenTimes(lease.size(), atUsualPace(lease, used));
      return;
    }
    Duration estimated = work.estimate(lease.size(), lease.workspace());
    paces.completed(lease.endpoint(), estimated, used, now);
    work.completed(lease.size(), lease.workspace(), atUsualPace(lease, used));
  }

  private Duration atUsualPace(SlotLease lease, Duration used) {
    return Duration.ofNanos((long) (used.toNanos() / paces.lastingFactor(lease.endpoint())));
  }
}

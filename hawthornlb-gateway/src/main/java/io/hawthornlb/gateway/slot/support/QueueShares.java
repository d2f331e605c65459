package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the workspaces that have more requests waiting than their share of the queue.
 *
 * <p>A workspace that sends many times its usual load fills the queue at a load peak. Its requests
 * are overtaken by those of other workspaces and refused only after they have waited for as long as
 * they may. Their callers could have retried earlier. So a request beyond the share of its
 * workspace is refused on arrival.
 *
 * <p>The shares are max-min fair, first among data centres by their weights and then among the
 * workspaces of a data centre, by the work that arrived recently: what a workspace leaves of its
 * share goes to others, and a workspace alone has the whole queue. The demand of each is an average
 * that decays exponentially.
 */
final class QueueShares {

  /** Time constant of the average; several times the wait of a request, so that bursts even out. */
  private static final double WINDOW_MILLIS = 500;

  /** Time between two computations of the averages and the shares. */
  private static final Duration UPDATE_INTERVAL = Duration.ofMillis(20);

  /** Demand in units below which a flow is forgotten. */
  private static final double FORGOTTEN = 0.01;

  private final DataCentreWeights weights;
  private final Map<Flow, Double> demands = new HashMap<>();
  private final Map<Flow, Double> waiting = new HashMap<>();
  private final Map<String, Double> levels = new HashMap<>();
  private Instant updated = Instant.EPOCH;
  private Instant computed = Instant.EPOCH;

  QueueShares(DataCentreWeights weights) {
    this.weights = weights;
  }

  /** Records the arrival of an online request with its work in units of the usual work. */
  void arrived(Flow flow, double units, Instant now) {
    decay(now);
    demands.merge(flow, units, Double::sum);
  }

  /** Records that a request waits. */
  void added(Flow flow, double units) {
    waiting.merge(flow, units, Double::sum);
  }

  /** Records that a request no longer waits. */
  void removed(Flow flow, double units) {
    // The sum of an empty queue is zero but for rounding.
    waiting.computeIfPresent(flow, (any, sum) -> sum - units < FORGOTTEN ? null : sum - units);
  }

  /**
   * Returns whether a request exceeds the share of its workspace.
   *
   * @param units work of the request
   * @param perMilli units of work that all slots do in a millisecond
   * @param longest longest wait of the request
   */
  boolean exceeded(Flow flow, double units, double perMilli, Duration longest, Instant now) {
    update(perMilli, now);
    double level = levels.getOrDefault(flow.dataCentre(), Double.POSITIVE_INFINITY);
    double own = waiting.getOrDefault(flow, 0.0);
    if (own == 0 || demands.getOrDefault(flow, 0.0) <= level) {
      return false;
    }
    return own + units > level * longest.toMillis() / WINDOW_MILLIS;
  }

  /** Lets the averages decay, if the last time is some while ago. */
  private void decay(Instant now) {
    Duration passed = Duration.between(updated, now);
    if (passed.compareTo(UPDATE_INTERVAL) < 0 && !passed.isNegative()) {
      return;
    }
    updated = now;
    double kept = Math.exp(-Math.max(0, passed.toMillis()) / WINDOW_MILLIS);
    demands.replaceAll((flow, demand) -> demand * kept);
    demands.values().removeIf(demand -> demand < FORGOTTEN);
  }

  private void update(double perMilli, Instant now) {
    decay(now);
    if (computed.equals(updated)) {
      return;
    }
    computed = updated;
    Map<String, List<MaxMinLevel.Demand>> flows = new HashMap<>();
    Map<String, Double> sums = new HashMap<>();
    demands.forEach(
        (flow, demand) -> {
          flows
              .computeIfAbsent(flow.dataCentre(), any -> new ArrayList<>())
              .add(new MaxMinLevel.Demand(demand, 1));
          sums.merge(flow.dataCentre(), demand, Double::sum);
        });
    List<MaxMinLevel.Demand> dataCentres = new ArrayList<>();
    sums.forEach((at, sum) -> dataCentres.add(new MaxMinLevel.Demand(sum, weights.of(at))));
    double level = MaxMinLevel.of(dataCentres, perMilli * WINDOW_MILLIS);
    levels.clear();
    sums.forEach(
        (at, sum) -> {
          double capacity = level * weights.of(at);
          if (sum > capacity) {
            levels.put(at, MaxMinLevel.of(flows.get(at), capacity));
          }
        });
  }
}

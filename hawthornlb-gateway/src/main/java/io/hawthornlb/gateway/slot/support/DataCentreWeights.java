package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Weights of data centres: the usual work of their callers, relative to the mean.
 *
 * <p>If data centres had equal shares, the callers of one that sends more than a third of the load
 * would be served less than others at each peak. The weights follow over several load cycles, so a
 * workspace that is hot for some seconds hardly changes them.
 */
final class DataCentreWeights {

  private static final double TIME_CONSTANT_MILLIS = 30_000;

  private static final Duration UPDATE_INTERVAL = Duration.ofMillis(100);

  /** Smallest weight, so that the first requests of a data centre are not held back. */
  private static final double MIN_WEIGHT = 0.1;

  /** Demand in units below which a data centre is forgotten. */
  private static final double FORGOTTEN = 0.01;

  /** Maximum number of data centres, far above that of any deployment; bounds the memory. */
  private static final int MAX_DATA_CENTRES = 1_000;

  private final Map<String, Double> demands = new HashMap<>();
  private double sum;
  private Instant updated = Instant.EPOCH;

  /** Records the arrival of an online request with its work in units of the usual work. */
  void arrived(String dataCentre, double units, Instant now) {
    decay(now);
    if (demands.size() < MAX_DATA_CENTRES || demands.containsKey(dataCentre)) {
      demands.merge(dataCentre, units, Double::sum);
      sum += units;
    }
  }

  /** Returns the weight of a data centre; 1 if it has the mean demand or is not known. */
  double of(String dataCentre) {
    Double demand = demands.get(dataCentre);
    return demand == null ? 1 : Math.max(MIN_WEIGHT, demands.size() * demand / sum);
  }

  private void decay(Instant now) {
    Duration passed = Duration.between(updated, now);
    if (passed.compareTo(UPDATE_INTERVAL) < 0 && !passed.isNegative()) {
      return;
    }
    updated = now;
    double kept = Math.exp(-Math.max(0, passed.toMillis()) / TIME_CONSTANT_MILLIS);
    demands.replaceAll((dataCentre, demand) -> demand * kept);
    demands.values().removeIf(demand -> demand < FORGOTTEN);
    sum = demands.values().stream().mapToDouble(Double::doubleValue).sum();
  }
}

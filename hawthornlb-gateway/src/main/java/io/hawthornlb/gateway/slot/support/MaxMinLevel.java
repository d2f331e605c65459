package io.hawthornlb.gateway.slot.support;

import java.util.Comparator;
import java.util.List;

/** Weighted max-min fair division of a capacity among demands. */
final class MaxMinLevel {

  private MaxMinLevel() {}

  /** A demand and its weight. */
  record Demand(double amount, double weight) {

    private double relative() {
      return amount / weight;
    }
  }

  /**
   * Returns the level up to which demands can be met, as a multiple of their weights, so that the
   * met parts add up to the capacity; positive infinity if all demands can be met whole.
   */
  static double of(List<Demand> demands, double capacity) {
    double left = capacity;
    double weights = demands.stream().mapToDouble(Demand::weight).sum();
    for (Demand each :
        demands.stream().sorted(Comparator.comparingDouble(Demand::relative)).toList()) {
      double level = left / weights;
      if (each.relative() > level) {
        return level;
      }
      left -= each.amount();
      weights -= each.weight();
    }
    return Double.POSITIVE_INFINITY;
  }
}

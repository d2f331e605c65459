package io.hawthornlb.core.demand.support;

import org.jspecify.annotations.Nullable;

/**
 * The two levels between which load changes.
 *
 * @param trough slots in use in a trough
 * @param peak slots in use at a peak
 */
record LoadLevels(double trough, double peak) {

  /** Smallest ratio of two levels; below it the usual reserve for fluctuations is sufficient. */
  private static final double MIN_RATIO = 1.5;

  /**
   * Smallest distance of two levels in standard deviations of the values around them. Random
   * arrivals around a single level, split at their mean, are 2.7 deviations apart.
   */
  private static final double MIN_DISTANCE = 3.5;

  /** Iterations of the clustering, which converges within a few. */
  private static final int MAX_ITERATIONS = 10;

  /** Returns the two levels of a series; null if it has a single one. */
  static @Nullable LoadLevels of(double[] series) {
    double threshold = mean(series);
    LoadLevels levels = new LoadLevels(threshold, threshold);
    for (int i = 0; i < MAX_ITERATIONS; i++) {
      levels = split(series, threshold);
      double next = levels.share(0.5);
      if (next == threshold) {
        break;
      }
      threshold = next;
    }
    boolean distinct =
        levels.peak >= MIN_RATIO * levels.trough
            && levels.peak - levels.trough > MIN_DISTANCE * levels.deviation(series);
    return distinct ? levels : null;
  }

  /** Returns the value at a share of the way from trough to peak. */
  double share(double part) {
    return trough + part * (peak - trough);
  }

  private static LoadLevels split(double[] series, double threshold) {
    double low = 0;
    double high = 0;
    int highs = 0;
    for (double each : series) {
      if (each > threshold) {
        high += each;
        highs++;
      } else {
        low += each;
      }
    }
    int lows = series.length - highs;
    return new LoadLevels(lows == 0 ? 0 : low / lows, highs == 0 ? 0 : high / highs);
  }

  private double deviation(double[] series) {
    double squares = 0;
    for (double each : series) {
      double distance = Math.min(Math.abs(each - trough), Math.abs(each - peak));
      squares += distance * distance;
    }
    return Math.sqrt(squares / Math.max(1, series.length));
  }

  private static double mean(double[] series) {
    double total = 0;
    for (double each : series) {
      total += each;
    }
    return total / Math.max(1, series.length);
  }
}

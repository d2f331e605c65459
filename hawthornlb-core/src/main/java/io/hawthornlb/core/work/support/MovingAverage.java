package io.hawthornlb.core.work.support;

/** Mean of all values at first, and of about the last {@code window} values later. */
final class MovingAverage {

  private final double window;
  private double mean;
  private double count;

  /**
   * Creates an average that starts as if it had some values already.
   *
   * @param count number of values that the initial mean counts as
   */
  MovingAverage(double window, double mean, double count) {
    this.window = window;
    this.mean = mean;
    this.count = Math.min(window, count);
  }

  void add(double value) {
    count = Math.min(window, count + 1);
    mean += (value - mean) / count;
  }

  double mean() {
    return mean;
  }

  /** Returns the number of values that the mean comes from, at most the window. */
  double count() {
    return count;
  }
}

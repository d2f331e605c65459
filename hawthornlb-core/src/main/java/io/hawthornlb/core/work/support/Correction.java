package io.hawthornlb.core.work.support;

/**
 * Ratio of the mean of output times to the mean of their predictions.
 *
 * <p>A prediction from logarithms is that of a typical request. Sums of work need the mean, which
 * long requests raise.
 */
final class Correction {

  private static final double WINDOW = 500;

  /** Uses that the initial ratio counts as. */
  private static final double INITIAL_USES = 10;

  /**
   * Factor of a prediction above which a time counts no further, so that one use changes little.
   */
  private static final double MAX_RATIO = 16;

  private final MovingAverage actual;
  private final MovingAverage predicted;

  Correction(double ratio, double predictedMillis) {
    actual = new MovingAverage(WINDOW, ratio * predictedMillis, INITIAL_USES);
    predicted = new MovingAverage(WINDOW, predictedMillis, INITIAL_USES);
  }

  void used(double actualMillis, double predictedMillis) {
    actual.add(Math.min(actualMillis, MAX_RATIO * predictedMillis));
    predicted.add(predictedMillis);
  }

  double ratio() {
    return actual.mean() / predicted.mean();
  }
}

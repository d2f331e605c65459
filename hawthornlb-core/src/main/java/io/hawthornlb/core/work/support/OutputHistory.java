package io.hawthornlb.core.work.support;

/**
 * Usual output time of a service or workspace, and how far off it and the hints are.
 *
 * <p>Output times spread over orders of magnitude, so averages are taken of their logarithms.
 */
final class OutputHistory {

  /** Uses that the averages of a service or workspace follow. */
  private static final double WINDOW = 200;

  /** Largest error that counts, a factor of 16; beyond it any hint is equally useless. */
  private static final double MAX_ERROR = Math.log(16);

  private final MovingAverage logMillis;
  private final MovingAverage usualError;
  private final MovingAverage hintError;

  /** Creates a history that starts as if it had seen some uses. */
  OutputHistory(double logMillis, double usualError, double hintError, double uses) {
    this.logMillis = new MovingAverage(WINDOW, logMillis, uses);
    this.usualError = new MovingAverage(WINDOW, usualError, uses);
    this.hintError = new MovingAverage(WINDOW, hintError, uses);
  }

  void used(double logOutput) {
    usualError.add(squared(logOutput - logMillis.mean()));
    logMillis.add(logOutput);
  }

  void hinted(double logOutput, double logHint) {
    hintError.add(squared(logOutput - logHint));
  }

  double logMillis() {
    return logMillis.mean();
  }

  /** Returns the mean square of the logarithm by which the usual output time is off. */
  double usualError() {
    return usualError.mean();
  }

  /** Returns the mean square of the logarithm by which hints are off. */
  double hintError() {
    return hintError.mean();
  }

  double uses() {
    return logMillis.count();
  }

  double hints() {
    return hintError.count();
  }

  private static double squared(double error) {
    double counted = Math.min(MAX_ERROR, Math.abs(error));
    return counted * counted;
  }
}

package io.hawthornlb.core.work.support;

/**
 * Time per prompt token and per output token of a service.
 *
 * <p>The time per prompt token is the slope of a regression of the slot time, less the predicted
 * output time, on the prompt tokens. The time per output token is the median of the ratio of output
 * time to hint, since hints are accurate in the median: a minority of wrong hints does not move it.
 */
final class TokenTimes {

  /** Uses in the regression; enough for a slope that is a tenth of the spread of the times. */
  private static final double WINDOW = 1_000;

  /** Uses with a hint from which on the time per output token counts as known. */
  private static final int MIN_HINTED = 10;

  /** Smallest step of the median; it follows a change to twice the time within 140 uses. */
  private static final double MIN_STEP = 0.005;

  /** Standard errors by which a slope has to differ to be taken in part. */
  private static final double SIGNIFICANT = 2;

  /** Factor within which a time counts; beyond it the slot was used for more than the tokens. */
  private static final double MAX_DEVIATION = 8;

  private final MovingAverage prompt = new MovingAverage(WINDOW, 0, 0);
  private final MovingAverage time = new MovingAverage(WINDOW, 0, 0);
  private final MovingAverage promptSquare = new MovingAverage(WINDOW, 0, 0);
  private final MovingAverage timeSquare = new MovingAverage(WINDOW, 0, 0);
  private final MovingAverage product = new MovingAverage(WINDOW, 0, 0);
  private double initialPromptMillis;
  private double promptMillis;
  private double logOutputMillis;
  private long hinted;

  /** Starts with figures that another instance has learned. */
  void restore(double promptTokenMillis, double outputTokenMillis) {
    initialPromptMillis = promptTokenMillis;
    promptMillis = promptTokenMillis;
    hinted = outputTokenMillis > 0 ? MIN_HINTED : 0;
    logOutputMillis = outputTokenMillis > 0 ? Math.log(outputTokenMillis) : 0;
  }

  /** Returns the time per prompt token; 0 if none was found. */
  double promptMillis() {
    return promptMillis;
  }

  /** Returns the time per output token; 0 if too few requests with hints have completed. */
  double outputMillis() {
    return hinted < MIN_HINTED ? 0 : Math.exp(logOutputMillis);
  }

  /**
   * Learns the time per prompt token.
   *
   * @param outputMillis output time that was predicted for the use
   */
  void learnPrompt(int promptTokens, double usedMillis, double outputMillis) {
    double limit = MAX_DEVIATION * outputMillis;
    double rest = Math.max(-limit, Math.min(limit, usedMillis - outputMillis));
    prompt.add(promptTokens);
    time.add(rest);
    promptSquare.add((double) promptTokens * promptTokens);
    timeSquare.add(rest * rest);
    product.add(promptTokens * rest);
    double spread = promptSquare.mean() - prompt.mean() * prompt.mean();
    if (spread < 1) {
      return;
    }
    double covariance = product.mean() - prompt.mean() * time.mean();
    double slope = covariance / spread;
    double unexplained = timeSquare.mean() - time.mean() * time.mean() - slope * slope * spread;
    double error = Math.sqrt(Math.max(0, unexplained) / (prompt.count() * spread));
    double change = slope - initialPromptMillis;
    double ratio = change == 0 ? 1 : SIGNIFICANT * error / change;
    promptMillis = Math.max(0, initialPromptMillis + change * Math.max(0, 1 - ratio * ratio));
  }

  /** Learns the time per output token from a use with a hint. */
  void learnOutput(int hintedTokens, double outputMillis) {
    double ratio = Math.log(outputMillis / hintedTokens);
    hinted++;
    if (hinted == 1) {
      logOutputMillis = ratio;
    } else {
      logOutputMillis += Math.max(MIN_STEP, 1.0 / hinted) * Math.signum(ratio - logOutputMillis);
    }
  }
}

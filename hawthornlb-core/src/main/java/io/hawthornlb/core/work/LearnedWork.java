package io.hawthornlb.core.work;

/**
 * What an estimator has learned about the requests of a service, to be handed over to another one.
 *
 * @param uses number of completed uses that the figures come from
 * @param promptTokenMillis time per prompt token; 0 if none was found
 * @param outputTokenMillis time per hinted output token; 0 if not known
 * @param usualPromptTokens mean number of prompt tokens; 0 if none were stated
 * @param usualOutputMillis time that the output of a typical request takes
 * @param hintError mean square of the natural logarithm of the ratio of output times to hinted ones
 * @param usualError mean square of the natural logarithm of the ratio of output times to usual ones
 * @param hintedCorrection ratio of mean to typical output time of requests with a hint
 * @param usualCorrection ratio of mean to typical output time of requests without a hint
 */
public record LearnedWork(
    long uses,
    double promptTokenMillis,
    double outputTokenMillis,
    double usualPromptTokens,
    double usualOutputMillis,
    double hintError,
    double usualError,
    double hintedCorrection,
    double usualCorrection) {

  /**
   * Checks the figures.
   *
   * @throws IllegalArgumentException if a figure is negative or not finite, or if one of those that
   *     estimates are multiplied by is zero
   */
  public LearnedWork {
    if (uses < 0) {
      throw new IllegalArgumentException("uses: " + uses);
    }
    check("promptTokenMillis", promptTokenMillis, promptTokenMillis >= 0);
    check("outputTokenMillis", outputTokenMillis, outputTokenMillis >= 0);
    check("usualPromptTokens", usualPromptTokens, usualPromptTokens >= 0);
    check("usualOutputMillis", usualOutputMillis, usualOutputMillis > 0);
    check("hintError", hintError, hintError >= 0);
    check("usualError", usualError, usualError >= 0);
    check("hintedCorrection", hintedCorrection, hintedCorrection > 0);
    check("usualCorrection", usualCorrection, usualCorrection > 0);
  }

  private static void check(String name, double value, boolean inRange) {
    if (!inRange || !Double.isFinite(value)) {
      throw new IllegalArgumentException(name + ": " + value);
    }
  }
}

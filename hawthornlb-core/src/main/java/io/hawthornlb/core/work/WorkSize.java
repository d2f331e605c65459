package io.hawthornlb.core.work;

/**
 * Token counts that a request states about itself.
 *
 * @param promptTokens number of prompt tokens; {@link #UNKNOWN} if not stated
 * @param maxOutputTokens maximum number of output tokens; {@link #UNKNOWN} if not stated
 * @param hintedOutputTokens the caller's estimate of the number of output tokens, accurate in the
 *     median but often far off; {@link #UNKNOWN} if not stated
 */
public record WorkSize(int promptTokens, int maxOutputTokens, int hintedOutputTokens) {

  /** A count that the request does not state. */
  public static final int UNKNOWN = -1;

  /**
   * Largest count that is accepted, far above the context length of any model; a larger one counts
   * as not stated, so that an absurd number distorts no estimate.
   */
  public static final int MAX_TOKENS = 1_000_000;

  /** The size of a request that states none of the counts. */
  public static final WorkSize NONE = new WorkSize(UNKNOWN, UNKNOWN, UNKNOWN);

  /** Replaces counts that are out of range by {@link #UNKNOWN}. */
  public WorkSize {
    promptTokens = accepted(promptTokens);
    maxOutputTokens = accepted(maxOutputTokens);
    hintedOutputTokens = accepted(hintedOutputTokens);
  }

  /** Returns whether at least one of the counts is stated. */
  public boolean isStated() {
    return promptTokens != UNKNOWN || maxOutputTokens != UNKNOWN || hintedOutputTokens != UNKNOWN;
  }

  private static int accepted(int tokens) {
    return tokens < 0 || tokens > MAX_TOKENS ? UNKNOWN : tokens;
  }
}

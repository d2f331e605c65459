package io.hawthornlb.core.policy;

/**
 * Times of a fake engine in microseconds.
 *
 * @param slots requests that run at once
 * @param baseMicros time of a decode step with an empty batch
 * @param slotMicros time that each decoding request adds to a step
 * @param prefillMicros time of one prompt token
 * @param chunk prompt tokens that one step reads at most
 * @param cacheTokens tokens of prefixes and kept requests that it remembers
 */
record EngineModel(
    int slots, long baseMicros, long slotMicros, double prefillMicros, int chunk, int cacheTokens) {

  /** A small model on one accelerator: 20 to 21.6 ms a step, 20,000 prompt tokens a second. */
  static final EngineModel SMALL = new EngineModel(16, 20_000, 100, 50, 512, 40_000);

  /** A plain service that answers in 5 ms. */
  static final EngineModel PLAIN = new EngineModel(16, 5_000, 0, 0, 512, 0);

  /** Returns the time that a decoded token takes of a full engine. */
  double microsPerToken() {
    return (double) (baseMicros + slots * slotMicros) / slots;
  }
}

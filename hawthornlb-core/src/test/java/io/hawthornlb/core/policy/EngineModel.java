package io.hawthornlb.core.policy;

/**
 * Timing parameters of a simulated engine.
 *
 * @param slots number of requests that run at once
 * @param baseMicros time of a decode step with an empty batch, in microseconds
 * @param slotMicros time that each decoding request adds to a step, in microseconds
 * @param prefillMicros time to process one prompt token, in microseconds
 * @param chunk maximum number of prompt tokens that one step processes
 * @param cacheTokens number of tokens that the cache holds, for prefixes and kept requests
 */
record EngineModel(
    int slots, long baseMicros, long slotMicros, double prefillMicros, int chunk, int cacheTokens) {

  /**
   * A small model on one accelerator: a step takes 20 to 21.6 ms, and 20,000 prompt tokens are
   * processed per second.
   */
  static final EngineModel SMALL = new EngineModel(16, 20_000, 100, 50, 512, 40_000);

  /** A plain service that answers in 5 ms. */
  static final EngineModel PLAIN = new EngineModel(16, 5_000, 0, 0, 512, 0);

  /**
   * Returns the engine time that one decoded token costs when all slots are in use, in
   * microseconds.
   */
  double microsPerToken() {
    return (double) (baseMicros + slots * slotMicros) / slots;
  }
}

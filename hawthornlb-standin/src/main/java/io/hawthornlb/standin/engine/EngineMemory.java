package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * Capacity settings of an engine.
 *
 * @param slots the maximum number of sequences that run at the same time
 * @param kvTokens the KV cache capacity in tokens, shared by all running sequences
 * @param cacheTokens the prefix cache capacity in tokens
 * @param maxWaiting the maximum number of sequences that wait for a slot; the engine answers
 *     further requests with status 503
 * @param keepMillis the time in milliseconds for which completed and cancelled streams can still be
 *     read or resumed
 * @param maxKept the maximum number of completed and cancelled streams that are kept
 * @param detachedMillis the time in milliseconds after which the engine cancels a stream that has
 *     no reader
 * @param kvBytesPerToken the number of bytes for each context token in a KV export
 */
@JsonDeserialize(builder = EngineMemory.Builder.class)
public record EngineMemory(
    int slots,
    int kvTokens,
    int cacheTokens,
    int maxWaiting,
    long keepMillis,
    int maxKept,
    long detachedMillis,
    int kvBytesPerToken) {

  /** Validates the components. */
  public EngineMemory {
    SettingsChecks.positive(slots, "slots");
    SettingsChecks.positive(kvTokens, "kvTokens");
    SettingsChecks.notNegative(cacheTokens, "cacheTokens");
    SettingsChecks.positive(maxWaiting, "maxWaiting");
    SettingsChecks.positive(keepMillis, "keepMillis");
    SettingsChecks.positive(maxKept, "maxKept");
    SettingsChecks.notNegative(detachedMillis, "detachedMillis");
    SettingsChecks.notNegative(kvBytesPerToken, "kvBytesPerToken");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link EngineMemory} instances. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private int slots = 16;
    private int kvTokens = 60_000;
    private int cacheTokens = 30_000;
    private int maxWaiting = 4_096;
    private long keepMillis = 30_000;
    private int maxKept = 2_000;
    private long detachedMillis = 10_000;
    private int kvBytesPerToken = 64;

    private Builder() {}

    /** Sets the maximum number of sequences that run at the same time; 16 by default. */
    public Builder slots(int value) {
      slots = value;
      return this;
    }

    /** Sets the KV cache capacity in tokens; 60,000 by default. */
    public Builder kvTokens(int value) {
      kvTokens = value;
      return this;
    }

    /** Sets the prefix cache capacity in tokens; 30,000 by default. */
    public Builder cacheTokens(int value) {
      cacheTokens = value;
      return this;
    }

    /**
     * Sets the maximum number of sequences that wait for a slot; 4,096 by default. The engine
     * answers further requests with status 503.
     */
    public Builder maxWaiting(int value) {
      maxWaiting = value;
      return this;
    }

    /** Sets how many milliseconds a completed or cancelled stream is kept; 30,000 by default. */
    public Builder keepMillis(long value) {
      keepMillis = value;
      return this;
    }

    /** Sets how many completed and cancelled streams are kept at most; 2,000 by default. */
    public Builder maxKept(int value) {
      maxKept = value;
      return this;
    }

    /** Sets how many milliseconds a stream runs without a reader; 10,000 by default. */
    public Builder detachedMillis(long value) {
      detachedMillis = value;
      return this;
    }

    /** Sets the number of bytes for each token in a KV export; 64 by default. */
    public Builder kvBytesPerToken(int value) {
      kvBytesPerToken = value;
      return this;
    }

    /** Returns the settings after validation. */
    public EngineMemory build() {
      return new EngineMemory(
          slots,
          kvTokens,
          cacheTokens,
          maxWaiting,
          keepMillis,
          maxKept,
          detachedMillis,
          kvBytesPerToken);
    }
  }
}

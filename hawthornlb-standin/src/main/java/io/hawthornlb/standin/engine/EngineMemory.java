package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * What an engine holds at once.
 *
 * @param slots the sequences that run at once
 * @param kvTokens the tokens that running sequences may hold together
 * @param cacheTokens the tokens of cached prompt prefixes
 * @param maxWaiting the sequences that may wait for a slot; further ones get 503
 * @param keepMillis how long ended and cancelled streams can be resumed
 * @param maxKept how many ended streams are kept at most
 * @param detachedMillis how long a stream without a reader runs on
 * @param kvBytesPerToken the bytes for each token in an export
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

  /** Checks the values. */
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

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
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

    /** Sets the sequences that run at once; 16 by default. */
    public Builder slots(int value) {
      slots = value;
      return this;
    }

    /** Sets the tokens that running sequences may hold together; 60,000 by default. */
    public Builder kvTokens(int value) {
      kvTokens = value;
      return this;
    }

    /** Sets the tokens of cached prompt prefixes; 30,000 by default. */
    public Builder cacheTokens(int value) {
      cacheTokens = value;
      return this;
    }

    /** Sets the sequences that may wait for a slot; further ones get 503; 4,096 by default. */
    public Builder maxWaiting(int value) {
      maxWaiting = value;
      return this;
    }

    /** Sets how long ended and cancelled streams can be resumed; 30,000 by default. */
    public Builder keepMillis(long value) {
      keepMillis = value;
      return this;
    }

    /** Sets how many ended streams are kept at most; 2,000 by default. */
    public Builder maxKept(int value) {
      maxKept = value;
      return this;
    }

    /** Sets how long a stream without a reader runs on; 10,000 by default. */
    public Builder detachedMillis(long value) {
      detachedMillis = value;
      return this;
    }

    /** Sets the bytes for each token in an export; 64 by default. */
    public Builder kvBytesPerToken(int value) {
      kvBytesPerToken = value;
      return this;
    }

    /** Returns the checked values. */
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

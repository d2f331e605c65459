package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * Settings for the delay and the completeness of an engine's reports.
 *
 * @param loadLagMillis the age of the load report in milliseconds
 * @param cacheEventLagMillis the delay in milliseconds before a cache event becomes readable
 * @param cacheEventLossPercent the percentage of cache events that are dropped
 * @param cacheEventsKept the maximum number of cache events that are kept for readers
 * @param seed the seed of the random number generator that selects the dropped cache events
 */
@JsonDeserialize(builder = EngineReports.Builder.class)
public record EngineReports(
    long loadLagMillis,
    long cacheEventLagMillis,
    int cacheEventLossPercent,
    int cacheEventsKept,
    long seed) {

  /** Validates the components. */
  public EngineReports {
    SettingsChecks.notNegative(loadLagMillis, "loadLagMillis");
    SettingsChecks.notNegative(cacheEventLagMillis, "cacheEventLagMillis");
    SettingsChecks.isTrue(
        cacheEventLossPercent >= 0 && cacheEventLossPercent <= 100,
        "cacheEventLossPercent must be 0 to 100, was " + cacheEventLossPercent);
    SettingsChecks.positive(cacheEventsKept, "cacheEventsKept");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link EngineReports} instances. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long loadLagMillis = 500;
    private long cacheEventLagMillis = 500;
    private int cacheEventLossPercent = 5;
    private int cacheEventsKept = 10_000;
    private long seed = 1;

    private Builder() {}

    /** Sets the age of the load report in milliseconds; 500 by default. */
    public Builder loadLagMillis(long value) {
      loadLagMillis = value;
      return this;
    }

    /** Sets the delay of cache events in milliseconds; 500 by default. */
    public Builder cacheEventLagMillis(long value) {
      cacheEventLagMillis = value;
      return this;
    }

    /** Sets the percentage of cache events that are dropped; 5 by default. */
    public Builder cacheEventLossPercent(int value) {
      cacheEventLossPercent = value;
      return this;
    }

    /** Sets how many cache events are kept for readers; 10,000 by default. */
    public Builder cacheEventsKept(int value) {
      cacheEventsKept = value;
      return this;
    }

    /** Sets the random seed that selects the dropped cache events; 1 by default. */
    public Builder seed(long value) {
      seed = value;
      return this;
    }

    /** Returns the settings after validation. */
    public EngineReports build() {
      return new EngineReports(
          loadLagMillis, cacheEventLagMillis, cacheEventLossPercent, cacheEventsKept, seed);
    }
  }
}

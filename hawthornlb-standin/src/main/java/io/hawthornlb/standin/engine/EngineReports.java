package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * How late and how completely an engine reports.
 *
 * @param loadLagMillis the age of the load report
 * @param cacheEventLagMillis how late cache events appear
 * @param cacheEventLossPercent how many in a hundred cache events never appear
 * @param cacheEventsKept how many cache events can be read back
 * @param seed what draws the lost cache events
 */
@JsonDeserialize(builder = EngineReports.Builder.class)
public record EngineReports(
    long loadLagMillis,
    long cacheEventLagMillis,
    int cacheEventLossPercent,
    int cacheEventsKept,
    long seed) {

  /** Checks the values. */
  public EngineReports {
    SettingsChecks.notNegative(loadLagMillis, "loadLagMillis");
    SettingsChecks.notNegative(cacheEventLagMillis, "cacheEventLagMillis");
    SettingsChecks.isTrue(
        cacheEventLossPercent >= 0 && cacheEventLossPercent <= 100,
        "cacheEventLossPercent must be 0 to 100, was " + cacheEventLossPercent);
    SettingsChecks.positive(cacheEventsKept, "cacheEventsKept");
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long loadLagMillis = 500;
    private long cacheEventLagMillis = 500;
    private int cacheEventLossPercent = 5;
    private int cacheEventsKept = 10_000;
    private long seed = 1;

    private Builder() {}

    /** Sets the age of the load report; 500 by default. */
    public Builder loadLagMillis(long value) {
      loadLagMillis = value;
      return this;
    }

    /** Sets how late cache events appear; 500 by default. */
    public Builder cacheEventLagMillis(long value) {
      cacheEventLagMillis = value;
      return this;
    }

    /** Sets how many in a hundred cache events never appear; 5 by default. */
    public Builder cacheEventLossPercent(int value) {
      cacheEventLossPercent = value;
      return this;
    }

    /** Sets how many cache events can be read back; 10,000 by default. */
    public Builder cacheEventsKept(int value) {
      cacheEventsKept = value;
      return this;
    }

    /** Sets what draws the lost cache events; 1 by default. */
    public Builder seed(long value) {
      seed = value;
      return this;
    }

    /** Returns the checked values. */
    public EngineReports build() {
      return new EngineReports(
          loadLagMillis, cacheEventLagMillis, cacheEventLossPercent, cacheEventsKept, seed);
    }
  }
}

package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * Limits that the results of a flow must not exceed. A latency limit of 0 or below is not checked.
 *
 * @param firstTokenP95Millis the limit of the 95th percentile of the time to the first token
 * @param p95Millis the limit of the 95th percentile of the time to the complete answer
 * @param p99Millis the limit of the 99th percentile of the time to the complete answer
 * @param refusedPercent the maximum percentage of requests whose last attempt is refused
 * @param failedPercent the maximum percentage of requests that end without an answer or refusal
 * @param cut the maximum number of answers that begin but don't end
 */
@JsonDeserialize(builder = Limits.Builder.class)
public record Limits(
    double firstTokenP95Millis,
    double p95Millis,
    double p99Millis,
    double refusedPercent,
    double failedPercent,
    long cut) {

  /** Validates the components. */
  public Limits {
    SettingsChecks.notNegative(refusedPercent, "refusedPercent");
    SettingsChecks.notNegative(failedPercent, "failedPercent");
    SettingsChecks.notNegative(cut, "cut");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link Limits}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private double firstTokenP95Millis;
    private double p95Millis;
    private double p99Millis;
    private double refusedPercent = 100;
    private double failedPercent = 100;
    private long cut;

    private Builder() {}

    /** Sets the limit of the 95th percentile of the time to the first token; 0 by default. */
    public Builder firstTokenP95Millis(double value) {
      firstTokenP95Millis = value;
      return this;
    }

    /** Sets the limit of the 95th percentile of the time to the complete answer; 0 by default. */
    public Builder p95Millis(double value) {
      p95Millis = value;
      return this;
    }

    /** Sets the limit of the 99th percentile of the time to the complete answer; 0 by default. */
    public Builder p99Millis(double value) {
      p99Millis = value;
      return this;
    }

    /** Sets the maximum percentage of refused requests; 100 by default. */
    public Builder refusedPercent(double value) {
      refusedPercent = value;
      return this;
    }

    /** Sets the maximum percentage of requests without an answer or refusal; 100 by default. */
    public Builder failedPercent(double value) {
      failedPercent = value;
      return this;
    }

    /** Sets the maximum number of answers that begin but don't end; 0 by default. */
    public Builder cut(long value) {
      cut = value;
      return this;
    }

    /** Returns a validated set of limits. */
    public Limits build() {
      return new Limits(
          firstTokenP95Millis, p95Millis, p99Millis, refusedPercent, failedPercent, cut);
    }
  }
}

package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * What a flow may not exceed if the promises are to hold; 0 or below sets no limit.
 *
 * @param firstTokenP95Millis the 95th percentile of the time to the first token
 * @param p95Millis the 95th percentile of the time to the whole answer
 * @param p99Millis the 99th percentile of the time to the whole answer
 * @param refusedPercent the requests in a hundred that are refused in the end
 * @param failedPercent the requests in a hundred that end without answer or refusal
 * @param cut the answers that begin and do not end
 */
@JsonDeserialize(builder = Limits.Builder.class)
public record Limits(
    double firstTokenP95Millis,
    double p95Millis,
    double p99Millis,
    double refusedPercent,
    double failedPercent,
    long cut) {

  /** Checks the values. */
  public Limits {
    SettingsChecks.notNegative(refusedPercent, "refusedPercent");
    SettingsChecks.notNegative(failedPercent, "failedPercent");
    SettingsChecks.notNegative(cut, "cut");
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private double firstTokenP95Millis;
    private double p95Millis;
    private double p99Millis;
    private double refusedPercent = 100;
    private double failedPercent = 100;
    private long cut;

    private Builder() {}

    /** Sets the 95th percentile of the time to the first token; 0 by default. */
    public Builder firstTokenP95Millis(double value) {
      firstTokenP95Millis = value;
      return this;
    }

    /** Sets the 95th percentile of the time to the whole answer; 0 by default. */
    public Builder p95Millis(double value) {
      p95Millis = value;
      return this;
    }

    /** Sets the 99th percentile of the time to the whole answer; 0 by default. */
    public Builder p99Millis(double value) {
      p99Millis = value;
      return this;
    }

    /** Sets the requests in a hundred that are refused in the end; 100 by default. */
    public Builder refusedPercent(double value) {
      refusedPercent = value;
      return this;
    }

    /** Sets the requests in a hundred that end without answer or refusal; 100 by default. */
    public Builder failedPercent(double value) {
      failedPercent = value;
      return this;
    }

    /** Sets the answers that begin and do not end; 0 by default. */
    public Builder cut(long value) {
      cut = value;
      return this;
    }

    /** Returns the checked values. */
    public Limits build() {
      return new Limits(
          firstTokenP95Millis, p95Millis, p99Millis, refusedPercent, failedPercent, cut);
    }
  }
}

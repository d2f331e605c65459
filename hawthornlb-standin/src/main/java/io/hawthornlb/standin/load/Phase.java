package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * A time span in which requests arrive at random at a given mean rate (a Poisson process).
 *
 * @param fromMillis the start of the phase, in milliseconds from the start of the run
 * @param toMillis the end of the phase, in milliseconds from the start of the run
 * @param perSecond the mean number of requests per second
 */
@JsonDeserialize(builder = Phase.Builder.class)
public record Phase(long fromMillis, long toMillis, double perSecond) {

  /** Validates the components. */
  public Phase {
    SettingsChecks.notNegative(fromMillis, "fromMillis");
    SettingsChecks.isTrue(toMillis > fromMillis, "toMillis must be after fromMillis");
    SettingsChecks.notNegative(perSecond, "perSecond");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link Phase}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long fromMillis;
    private long toMillis;
    private double perSecond;

    private Builder() {}

    /** Sets the start of the phase; 0 by default. */
    public Builder fromMillis(long value) {
      fromMillis = value;
      return this;
    }

    /** Sets the end of the phase, which must be after its start; required. */
    public Builder toMillis(long value) {
      toMillis = value;
      return this;
    }

    /** Sets the mean number of requests per second; 0 by default. */
    public Builder perSecond(double value) {
      perSecond = value;
      return this;
    }

    /** Returns a validated phase. */
    public Phase build() {
      return new Phase(fromMillis, toMillis, perSecond);
    }
  }
}

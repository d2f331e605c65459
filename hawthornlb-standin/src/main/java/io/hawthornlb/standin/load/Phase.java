package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * A time over which requests arrive at random at a rate.
 *
 * @param fromMillis when it begins
 * @param toMillis when it ends
 * @param perSecond the requests a second
 */
@JsonDeserialize(builder = Phase.Builder.class)
public record Phase(long fromMillis, long toMillis, double perSecond) {

  /** Checks the values. */
  public Phase {
    SettingsChecks.notNegative(fromMillis, "fromMillis");
    SettingsChecks.isTrue(toMillis > fromMillis, "toMillis must be after fromMillis");
    SettingsChecks.notNegative(perSecond, "perSecond");
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long fromMillis;
    private long toMillis;
    private double perSecond;

    private Builder() {}

    /** Sets when it begins; 0 by default. */
    public Builder fromMillis(long value) {
      fromMillis = value;
      return this;
    }

    /** Sets when it ends; 0 by default. */
    public Builder toMillis(long value) {
      toMillis = value;
      return this;
    }

    /** Sets the requests a second; 0 by default. */
    public Builder perSecond(double value) {
      perSecond = value;
      return this;
    }

    /** Returns the checked values. */
    public Phase build() {
      return new Phase(fromMillis, toMillis, perSecond);
    }
  }
}

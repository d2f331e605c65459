package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * Requests that arrive evenly within a short time.
 *
 * @param atMillis when it begins
 * @param overMillis how long it lasts; 0 is all at once
 * @param count the requests in it
 */
@JsonDeserialize(builder = Burst.Builder.class)
public record Burst(long atMillis, long overMillis, int count) {

  /** Checks the values. */
  public Burst {
    SettingsChecks.notNegative(atMillis, "atMillis");
    SettingsChecks.notNegative(overMillis, "overMillis");
    SettingsChecks.positive(count, "count");
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long atMillis;
    private long overMillis;
    private int count;

    private Builder() {}

    /** Sets when it begins; 0 by default. */
    public Builder atMillis(long value) {
      atMillis = value;
      return this;
    }

    /** Sets how long it lasts; 0 by default. */
    public Builder overMillis(long value) {
      overMillis = value;
      return this;
    }

    /** Sets the requests in it; 0 by default. */
    public Builder count(int value) {
      count = value;
      return this;
    }

    /** Returns the checked values. */
    public Burst build() {
      return new Burst(atMillis, overMillis, count);
    }
  }
}

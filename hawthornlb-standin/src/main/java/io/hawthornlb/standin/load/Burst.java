package io.hawthornlb.standin.load;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * Requests that arrive at even intervals within a short time.
 *
 * @param atMillis the start of the burst, in milliseconds from the start of the run
 * @param overMillis the duration of the burst; if 0, all requests arrive at once
 * @param count the number of requests
 */
@JsonDeserialize(builder = Burst.Builder.class)
public record Burst(long atMillis, long overMillis, int count) {

  /** Validates the components. */
  public Burst {
    SettingsChecks.notNegative(atMillis, "atMillis");
    SettingsChecks.notNegative(overMillis, "overMillis");
    SettingsChecks.positive(count, "count");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link Burst}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long atMillis;
    private long overMillis;
    private int count;

    private Builder() {}

    /** Sets the start of the burst; 0 by default. */
    public Builder atMillis(long value) {
      atMillis = value;
      return this;
    }

    /** Sets the duration of the burst; 0 by default. */
    public Builder overMillis(long value) {
      overMillis = value;
      return this;
    }

    /** Sets the number of requests; required. */
    public Builder count(int value) {
      count = value;
      return this;
    }

    /** Returns a validated burst. */
    public Burst build() {
      return new Burst(atMillis, overMillis, count);
    }
  }
}

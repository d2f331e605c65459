package io.hawthornlb.standin.bound;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * A time span in which slots, the store or both are unavailable.
 *
 * @param fromMillis the start of the outage in milliseconds of the day, inclusive
 * @param toMillis the end of the outage in milliseconds of the day, exclusive
 * @param slots the number of slots that are unavailable during the outage
 * @param store whether the store is unavailable during the outage
 */
@JsonDeserialize(builder = Outage.Builder.class)
public record Outage(long fromMillis, long toMillis, int slots, boolean store) {

  /** Validates the components. */
  public Outage {
    SettingsChecks.notNegative(fromMillis, "fromMillis");
    SettingsChecks.isTrue(toMillis > fromMillis, "toMillis must be after fromMillis");
    SettingsChecks.notNegative(slots, "slots");
  }

  /** Returns whether a time of the day falls within this outage. */
  public boolean contains(long millis) {
    return millis >= fromMillis && millis < toMillis;
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link Outage}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long fromMillis = 0;
    private long toMillis = 0;
    private int slots = 0;
    private boolean store = false;

    private Builder() {}

    /** Sets the start of the outage in milliseconds of the day; 0 by default. */
    public Builder fromMillis(long value) {
      fromMillis = value;
      return this;
    }

    /** Sets the end of the outage in milliseconds of the day; required. */
    public Builder toMillis(long value) {
      toMillis = value;
      return this;
    }

    /** Sets the number of unavailable slots; 0 by default. */
    public Builder slots(int value) {
      slots = value;
      return this;
    }

    /** Sets whether the store is unavailable; false by default. */
    public Builder store(boolean value) {
      store = value;
      return this;
    }

    /** Returns a validated outage. */
    public Outage build() {
      return new Outage(fromMillis, toMillis, slots, store);
    }
  }
}

package io.hawthornlb.standin.bound;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * A time for which slots or the store are out of reach.
 *
 * @param fromMillis when it begins
 * @param toMillis when it ends
 * @param slots slots that nobody can use meanwhile
 * @param store whether the store takes nothing meanwhile
 */
@JsonDeserialize(builder = Loss.Builder.class)
public record Loss(long fromMillis, long toMillis, int slots, boolean store) {

  /** Checks the values. */
  public Loss {
    SettingsChecks.notNegative(fromMillis, "fromMillis");
    SettingsChecks.isTrue(toMillis > fromMillis, "toMillis must be after fromMillis");
    SettingsChecks.notNegative(slots, "slots");
  }

  /** Returns whether a moment lies in this time. */
  public boolean holds(long millis) {
    return millis >= fromMillis && millis < toMillis;
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long fromMillis = 0;
    private long toMillis = 0;
    private int slots = 0;
    private boolean store = false;

    private Builder() {}

    /** Sets when it begins; 0 by default. */
    public Builder fromMillis(long value) {
      fromMillis = value;
      return this;
    }

    /** Sets when it ends; required. */
    public Builder toMillis(long value) {
      toMillis = value;
      return this;
    }

    /** Sets how many slots nobody can use; none by default. */
    public Builder slots(int value) {
      slots = value;
      return this;
    }

    /** Sets whether the store takes nothing; by default it does. */
    public Builder store(boolean value) {
      store = value;
      return this;
    }

    /** Returns the checked values. */
    public Loss build() {
      return new Loss(fromMillis, toMillis, slots, store);
    }
  }
}

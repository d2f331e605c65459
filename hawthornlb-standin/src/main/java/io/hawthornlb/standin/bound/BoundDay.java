package io.hawthornlb.standin.bound;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import java.util.List;

/**
 * A simulated day of one service: its slots, its outages and its demands.
 *
 * @param lengthMillis the length of the day in milliseconds; work done after the end doesn't count
 * @param slots the number of slots of all endpoints together
 * @param losses the outages of slots or of the store
 * @param demands the requests that arrive
 */
@JsonDeserialize(builder = BoundDay.Builder.class)
public record BoundDay(long lengthMillis, int slots, List<Outage> losses, List<Demand> demands) {

  /** Validates the components. */
  public BoundDay {
    SettingsChecks.isTrue(lengthMillis > 0, "lengthMillis must be above 0");
    SettingsChecks.isTrue(slots > 0, "slots must be above 0");
    losses = List.copyOf(losses);
    demands = List.copyOf(demands);
  }

  /** Returns the number of slots that are available at a time of the day; at least 0. */
  public int slotsAt(long millis) {
    int unavailable =
        losses.stream().filter(outage -> outage.contains(millis)).mapToInt(Outage::slots).sum();
    return Math.max(0, slots - unavailable);
  }

  /** Returns whether the store is available at any time of a span, both ends included. */
  public boolean isStoreAvailableWithin(long fromMillis, long toMillis) {
    long millis = fromMillis;
    while (millis <= toMillis) {
      long time = millis;
      long availableFrom =
          losses.stream()
              .filter(outage -> outage.store() && outage.contains(time))
              .mapToLong(Outage::toMillis)
              .max()
              .orElse(time);
      if (availableFrom == time) {
        return true;
      }
      millis = availableFrom;
    }
    return false;
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link BoundDay}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long lengthMillis = 0;
    private int slots = 0;
    private List<Outage> losses = List.of();
    private List<Demand> demands = List.of();

    private Builder() {}

    /** Sets the length of the day in milliseconds; required. */
    public Builder lengthMillis(long value) {
      lengthMillis = value;
      return this;
    }

    /** Sets the number of slots of all endpoints together; required. */
    public Builder slots(int value) {
      slots = value;
      return this;
    }

    /** Sets the outages of slots or of the store; none by default. */
    public Builder losses(List<Outage> value) {
      losses = value;
      return this;
    }

    /** Sets the requests that arrive; none by default. */
    public Builder demands(List<Demand> value) {
      demands = value;
      return this;
    }

    /** Returns a validated day. */
    public BoundDay build() {
      return new BoundDay(lengthMillis, slots, losses, demands);
    }
  }
}

package io.hawthornlb.standin.bound;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import java.util.List;

/**
 * A day of one service: its slots, what is lost for a while, and what arrives.
 *
 * @param lengthMillis time until which work counts
 * @param slots slots of all endpoints
 * @param losses times for which slots or the store are out of reach
 * @param demands what arrives
 */
@JsonDeserialize(builder = BoundDay.Builder.class)
public record BoundDay(long lengthMillis, int slots, List<Loss> losses, List<Demand> demands) {

  /** Checks the values. */
  public BoundDay {
    SettingsChecks.isTrue(lengthMillis > 0, "lengthMillis must be above 0");
    SettingsChecks.isTrue(slots > 0, "slots must be above 0");
    losses = List.copyOf(losses);
    demands = List.copyOf(demands);
  }

  /** Returns the slots that can be used at a moment. */
  public int slotsAt(long millis) {
    int lost = losses.stream().filter(loss -> loss.holds(millis)).mapToInt(Loss::slots).sum();
    return Math.max(0, slots - lost);
  }

  /** Returns whether the store takes something at some moment of a span. */
  public boolean storeWithin(long fromMillis, long toMillis) {
    long millis = fromMillis;
    while (millis <= toMillis) {
      long moment = millis;
      long back =
          losses.stream()
              .filter(loss -> loss.store() && loss.holds(moment))
              .mapToLong(Loss::toMillis)
              .max()
              .orElse(moment);
      if (back == moment) {
        return true;
      }
      millis = back;
    }
    return false;
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private long lengthMillis = 0;
    private int slots = 0;
    private List<Loss> losses = List.of();
    private List<Demand> demands = List.of();

    private Builder() {}

    /** Sets the time until which work counts; required. */
    public Builder lengthMillis(long value) {
      lengthMillis = value;
      return this;
    }

    /** Sets the slots of all endpoints; required. */
    public Builder slots(int value) {
      slots = value;
      return this;
    }

    /** Sets what is lost for a while; nothing by default. */
    public Builder losses(List<Loss> value) {
      losses = value;
      return this;
    }

    /** Sets what arrives; nothing by default. */
    public Builder demands(List<Demand> value) {
      demands = value;
      return this;
    }

    /** Returns the checked values. */
    public BoundDay build() {
      return new BoundDay(lengthMillis, slots, losses, demands);
    }
  }
}

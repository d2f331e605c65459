package io.hawthornlb.standin.bound;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.load.Phase;
import io.hawthornlb.standin.support.SettingsChecks;
import java.util.List;

/**
 * Requests of one kind: when they come, how long each uses a slot and what it is worth in time.
 *
 * @param name name in the report
 * @param phases when requests arrive
 * @param workMillis time for which a request uses a slot
 * @param withinMillis time after its arrival by which it must be done
 * @param worth what a request that is done in time is worth
 * @param storedWithinMillis time within which the store must have taken it; negative if it needs no
 *     store
 */
@JsonDeserialize(builder = Demand.Builder.class)
public record Demand(
    String name,
    List<Phase> phases,
    long workMillis,
    long withinMillis,
    double worth,
    long storedWithinMillis) {

  /** Checks the values. */
  public Demand {
    SettingsChecks.isTrue(!name.isEmpty(), "name must not be empty");
    phases = List.copyOf(phases);
    SettingsChecks.isTrue(workMillis > 0, "workMillis must be above 0");
    SettingsChecks.isTrue(withinMillis >= workMillis, "withinMillis must be workMillis at least");
    SettingsChecks.isTrue(worth > 0, "worth must be above 0");
  }

  /** Returns the worth that a slot earns in a millisecond. */
  public double worthPerSlotMilli() {
    return worth / workMillis;
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private String name = "";
    private List<Phase> phases = List.of();
    private long workMillis = 0;
    private long withinMillis = 0;
    private double worth = 0;
    private long storedWithinMillis = -1;

    private Builder() {}

    /** Sets the name; required. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets when requests arrive; never by default. */
    public Builder phases(List<Phase> value) {
      phases = value;
      return this;
    }

    /** Sets for how long a request uses a slot; required. */
    public Builder workMillis(long value) {
      workMillis = value;
      return this;
    }

    /** Sets the time by which a request must be done; required. */
    public Builder withinMillis(long value) {
      withinMillis = value;
      return this;
    }

    /** Sets what a request is worth; required. */
    public Builder worth(double value) {
      worth = value;
      return this;
    }

    /** Sets the time within which the store must have taken a request; none by default. */
    public Builder storedWithinMillis(long value) {
      storedWithinMillis = value;
      return this;
    }

    /** Returns the checked values. */
    public Demand build() {
      return new Demand(name, phases, workMillis, withinMillis, worth, storedWithinMillis);
    }
  }
}

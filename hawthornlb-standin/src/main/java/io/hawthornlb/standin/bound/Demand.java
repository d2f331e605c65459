package io.hawthornlb.standin.bound;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.load.Phase;
import io.hawthornlb.standin.support.SettingsChecks;
import java.util.List;

/**
 * Requests of one kind, with their arrival rates, slot usage, deadline and worth.
 *
 * @param name the name of the demand in the report
 * @param phases the time spans in which requests arrive, each with its rate
 * @param workMillis the time for which a request uses a slot, in milliseconds
 * @param withinMillis the deadline of a request, in milliseconds after its arrival
 * @param worth the worth of a request that completes by its deadline
 * @param storedWithinMillis the time after its arrival within which the store must accept a
 *     request, in milliseconds; negative if the request doesn't need the store
 */
@JsonDeserialize(builder = Demand.Builder.class)
public record Demand(
    String name,
    List<Phase> phases,
    long workMillis,
    long withinMillis,
    double worth,
    long storedWithinMillis) {

  /** Validates the components. */
  public Demand {
    SettingsChecks.isTrue(!name.isEmpty(), "name must not be empty");
    phases = List.copyOf(phases);
    SettingsChecks.isTrue(workMillis > 0, "workMillis must be above 0");
    SettingsChecks.isTrue(withinMillis >= workMillis, "withinMillis must be workMillis at least");
    SettingsChecks.isTrue(worth > 0, "worth must be above 0");
  }

  /** Returns the worth that one slot earns per millisecond while it processes this demand. */
  public double worthPerSlotMilli() {
    return worth / workMillis;
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder for {@link Demand}. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private String name = "";
    private List<Phase> phases = List.of();
    private long workMillis = 0;
    private long withinMillis = 0;
    private double worth = 0;
    private long storedWithinMillis = -1;

    private Builder() {}

    /** Sets the name of the demand in the report; required. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets the time spans in which requests arrive; none by default. */
    public Builder phases(List<Phase> value) {
      phases = value;
      return this;
    }

    /** Sets the time for which a request uses a slot, in milliseconds; required. */
    public Builder workMillis(long value) {
      workMillis = value;
      return this;
    }

    /** Sets the deadline of a request, in milliseconds after its arrival; required. */
    public Builder withinMillis(long value) {
      withinMillis = value;
      return this;
    }

    /** Sets the worth of a request that completes by its deadline; required. */
    public Builder worth(double value) {
      worth = value;
      return this;
    }

    /**
     * Sets the time after its arrival within which the store must accept a request, in
     * milliseconds; by default negative, so that the request doesn't need the store.
     */
    public Builder storedWithinMillis(long value) {
      storedWithinMillis = value;
      return this;
    }

    /** Returns a validated demand. */
    public Demand build() {
      return new Demand(name, phases, workMillis, withinMillis, worth, storedWithinMillis);
    }
  }
}

package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * Settings for the orders that an engine executes.
 *
 * @param checkFencing whether the engine rejects an order whose fencing number is lower than the
 *     highest number received before
 * @param loadMillis the time in milliseconds to load a model
 * @param adapterMillis the time in milliseconds to load an adapter
 * @param loadPauses whether all sequences pause while a model is loaded
 */
@JsonDeserialize(builder = EngineOrders.Builder.class)
public record EngineOrders(
    boolean checkFencing, long loadMillis, long adapterMillis, boolean loadPauses) {

  /** Validates the components. */
  public EngineOrders {
    SettingsChecks.notNegative(loadMillis, "loadMillis");
    SettingsChecks.notNegative(adapterMillis, "adapterMillis");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link EngineOrders} instances. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private boolean checkFencing = true;
    private long loadMillis = 3_000;
    private long adapterMillis = 500;
    private boolean loadPauses = true;

    private Builder() {}

    /** Sets whether an order with an outdated fencing number is rejected; true by default. */
    public Builder checkFencing(boolean value) {
      checkFencing = value;
      return this;
    }

    /** Sets the time in milliseconds to load a model; 3,000 by default. */
    public Builder loadMillis(long value) {
      loadMillis = value;
      return this;
    }

    /** Sets the time in milliseconds to load an adapter; 500 by default. */
    public Builder adapterMillis(long value) {
      adapterMillis = value;
      return this;
    }

    /** Sets whether all sequences pause while a model is loaded; true by default. */
    public Builder loadPauses(boolean value) {
      loadPauses = value;
      return this;
    }

    /** Returns the settings after validation. */
    public EngineOrders build() {
      return new EngineOrders(checkFencing, loadMillis, adapterMillis, loadPauses);
    }
  }
}

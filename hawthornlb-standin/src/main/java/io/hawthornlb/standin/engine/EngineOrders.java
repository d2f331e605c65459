package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * How an engine takes orders.
 *
 * @param checkFencing whether an order with an old fencing number is refused
 * @param loadMillis how long it takes to load a model
 * @param adapterMillis how long it takes to load an adapter
 * @param loadPauses whether sequences stand still while a model is loaded
 */
@JsonDeserialize(builder = EngineOrders.Builder.class)
public record EngineOrders(
    boolean checkFencing, long loadMillis, long adapterMillis, boolean loadPauses) {

  /** Checks the values. */
  public EngineOrders {
    SettingsChecks.notNegative(loadMillis, "loadMillis");
    SettingsChecks.notNegative(adapterMillis, "adapterMillis");
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private boolean checkFencing = true;
    private long loadMillis = 3_000;
    private long adapterMillis = 500;
    private boolean loadPauses = true;

    private Builder() {}

    /** Sets whether an order with an old fencing number is refused; true by default. */
    public Builder checkFencing(boolean value) {
      checkFencing = value;
      return this;
    }

    /** Sets how long it takes to load a model; 3,000 by default. */
    public Builder loadMillis(long value) {
      loadMillis = value;
      return this;
    }

    /** Sets how long it takes to load an adapter; 500 by default. */
    public Builder adapterMillis(long value) {
      adapterMillis = value;
      return this;
    }

    /** Sets whether sequences stand still while a model is loaded; true by default. */
    public Builder loadPauses(boolean value) {
      loadPauses = value;
      return this;
    }

    /** Returns the checked values. */
    public EngineOrders build() {
      return new EngineOrders(checkFencing, loadMillis, adapterMillis, loadPauses);
    }
  }
}

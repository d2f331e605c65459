package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import io.hawthornlb.standin.support.StandinIdentity;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an engine.
 *
 * @param identity who it is
 * @param models the models that it has at the start; its service is served as a model too
 * @param timing how long its steps take
 * @param memory what it holds at once
 * @param reports how it reports
 * @param orders how it takes orders
 */
@JsonDeserialize(builder = EngineSettings.Builder.class)
public record EngineSettings(
    StandinIdentity identity,
    List<String> models,
    EngineTiming timing,
    EngineMemory memory,
    EngineReports reports,
    EngineOrders orders) {

  /** Checks the values. */
  public EngineSettings {
    SettingsChecks.isTrue(identity != null, "identity must be given");
    models = List.copyOf(models);
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private @Nullable StandinIdentity identity;
    private List<String> models = List.of();
    private EngineTiming timing = EngineTiming.builder().build();
    private EngineMemory memory = EngineMemory.builder().build();
    private EngineReports reports = EngineReports.builder().build();
    private EngineOrders orders = EngineOrders.builder().build();

    private Builder() {}

    /** Sets who it is; required. */
    public Builder identity(StandinIdentity value) {
      identity = value;
      return this;
    }

    /** Sets the models that it has at the start; empty by default. */
    public Builder models(List<String> value) {
      models = value;
      return this;
    }

    /** Sets how long its steps take; EngineTiming.builder().build() by default. */
    public Builder timing(EngineTiming value) {
      timing = value;
      return this;
    }

    /** Sets what it holds at once; EngineMemory.builder().build() by default. */
    public Builder memory(EngineMemory value) {
      memory = value;
      return this;
    }

    /** Sets how it reports; EngineReports.builder().build() by default. */
    public Builder reports(EngineReports value) {
      reports = value;
      return this;
    }

    /** Sets how it takes orders; EngineOrders.builder().build() by default. */
    public Builder orders(EngineOrders value) {
      orders = value;
      return this;
    }

    /** Returns the checked values. */
    public EngineSettings build() {
      return new EngineSettings(identity, models, timing, memory, reports, orders);
    }
  }
}

package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import io.hawthornlb.standin.support.StandinIdentity;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an engine stand-in.
 *
 * @param identity the id, service and address of the engine
 * @param models the models loaded at startup, as {@code model} or {@code model@version}; the engine
 *     also accepts the name of its service as a model
 * @param timing the duration of the engine's steps
 * @param memory the capacity of the engine
 * @param reports the delay and the completeness of the engine's reports
 * @param orders the settings for orders
 * @param version the software version, by which the text of answers differs
 */
@JsonDeserialize(builder = EngineSettings.Builder.class)
public record EngineSettings(
    StandinIdentity identity,
    List<String> models,
    EngineTiming timing,
    EngineMemory memory,
    EngineReports reports,
    EngineOrders orders,
    String version) {

  /** Validates the components. */
  public EngineSettings {
    SettingsChecks.isTrue(identity != null, "identity must be given");
    models = List.copyOf(models);
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link EngineSettings} instances. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private @Nullable StandinIdentity identity;
    private List<String> models = List.of();
    private EngineTiming timing = EngineTiming.builder().build();
    private EngineMemory memory = EngineMemory.builder().build();
    private EngineReports reports = EngineReports.builder().build();
    private EngineOrders orders = EngineOrders.builder().build();
    private String version = "";

    private Builder() {}

    /** Sets the identity of the engine; required. */
    public Builder identity(StandinIdentity value) {
      identity = value;
      return this;
    }

    /** Sets the models loaded at startup; empty by default. */
    public Builder models(List<String> value) {
      models = value;
      return this;
    }

    /** Sets the duration of steps; the defaults of {@link EngineTiming} apply if not set. */
    public Builder timing(EngineTiming value) {
      timing = value;
      return this;
    }

    /** Sets the capacity; the defaults of {@link EngineMemory} apply if not set. */
    public Builder memory(EngineMemory value) {
      memory = value;
      return this;
    }

    /** Sets the settings for reports; the defaults of {@link EngineReports} apply if not set. */
    public Builder reports(EngineReports value) {
      reports = value;
      return this;
    }

    /** Sets the settings for orders; the defaults of {@link EngineOrders} apply if not set. */
    public Builder orders(EngineOrders value) {
      orders = value;
      return this;
    }

    /** Sets the software version, by which the text of answers differs; empty by default. */
    public Builder version(String value) {
      version = value;
      return this;
    }

    /** Returns the settings after validation. */
    public EngineSettings build() {
      return new EngineSettings(identity, models, timing, memory, reports, orders, version);
    }
  }
}

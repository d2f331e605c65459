package io.hawthornlb.standin.service;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import io.hawthornlb.standin.support.StandinIdentity;
import org.jspecify.annotations.Nullable;

/**
 * Settings of a plain service.
 *
 * @param identity who it is
 * @param serviceMillis time from a call to its answer
 * @param jitterMillis highest time added to it, drawn evenly
 * @param maxKeys how many idempotency keys are counted apart; further ones count together
 */
@JsonDeserialize(builder = ServiceSettings.Builder.class)
public record ServiceSettings(
    StandinIdentity identity, long serviceMillis, long jitterMillis, int maxKeys) {

  /** Checks the values. */
  public ServiceSettings {
    SettingsChecks.isTrue(identity != null, "identity must be given");
    SettingsChecks.notNegative(serviceMillis, "serviceMillis");
    SettingsChecks.notNegative(jitterMillis, "jitterMillis");
    SettingsChecks.positive(maxKeys, "maxKeys");
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private @Nullable StandinIdentity identity;
    private long serviceMillis = 5;
    private long jitterMillis;
    private int maxKeys = 500_000;

    private Builder() {}

    /** Sets who it is; required. */
    public Builder identity(StandinIdentity value) {
      identity = value;
      return this;
    }

    /** Sets the time from a call to its answer; 5 by default. */
    public Builder serviceMillis(long value) {
      serviceMillis = value;
      return this;
    }

    /** Sets the highest time added to it; 0 by default. */
    public Builder jitterMillis(long value) {
      jitterMillis = value;
      return this;
    }

    /** Sets how many idempotency keys are counted apart; 500,000 by default. */
    public Builder maxKeys(int value) {
      maxKeys = value;
      return this;
    }

    /** Returns the checked values. */
    public ServiceSettings build() {
      return new ServiceSettings(identity, serviceMillis, jitterMillis, maxKeys);
    }
  }
}

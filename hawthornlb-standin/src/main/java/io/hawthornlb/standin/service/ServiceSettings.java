package io.hawthornlb.standin.service;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;
import io.hawthornlb.standin.support.StandinIdentity;
import org.jspecify.annotations.Nullable;

/**
 * Settings of a service stand-in.
 *
 * @param identity the id, service and address of the stand-in
 * @param serviceMillis the time in milliseconds from a call to its response
 * @param jitterMillis the upper bound in milliseconds of a random, uniformly distributed time that
 *     is added to {@code serviceMillis}
 * @param maxKeys the maximum number of idempotency keys that are counted individually; calls with
 *     further keys are counted in one total
 */
@JsonDeserialize(builder = ServiceSettings.Builder.class)
public record ServiceSettings(
    StandinIdentity identity, long serviceMillis, long jitterMillis, int maxKeys) {

  /** Validates the components. */
  public ServiceSettings {
    SettingsChecks.isTrue(identity != null, "identity must be given");
    SettingsChecks.notNegative(serviceMillis, "serviceMillis");
    SettingsChecks.notNegative(jitterMillis, "jitterMillis");
    SettingsChecks.positive(maxKeys, "maxKeys");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link ServiceSettings} instances. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private @Nullable StandinIdentity identity;
    private long serviceMillis = 5;
    private long jitterMillis;
    private int maxKeys = 500_000;

    private Builder() {}

    /** Sets the identity; required. */
    public Builder identity(StandinIdentity value) {
      identity = value;
      return this;
    }

    /** Sets the time in milliseconds from a call to its response; 5 by default. */
    public Builder serviceMillis(long value) {
      serviceMillis = value;
      return this;
    }

    /** Sets the upper bound in milliseconds of the random extra time; 0 by default. */
    public Builder jitterMillis(long value) {
      jitterMillis = value;
      return this;
    }

    /** Sets how many idempotency keys are counted individually; 500,000 by default. */
    public Builder maxKeys(int value) {
      maxKeys = value;
      return this;
    }

    /** Returns the settings after validation. */
    public ServiceSettings build() {
      return new ServiceSettings(identity, serviceMillis, jitterMillis, maxKeys);
    }
  }
}

package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * Settings for the duration of an engine's steps. A step decodes one token for each running
 * sequence whose prefill is complete, and prefills prompt tokens of the other running sequences.
 * The duration is the sum of the following times in microseconds.
 *
 * @param stepMicros the fixed time of every step
 * @param sequenceMicros the time for each decoding sequence
 * @param kiloContextMicros the time for every thousand context tokens of the decoding sequences
 * @param prefillTokenMicros the time for each prefilled token
 * @param prefillChunkTokens the maximum number of tokens that a step prefills
 */
@JsonDeserialize(builder = EngineTiming.Builder.class)
public record EngineTiming(
    double stepMicros,
    double sequenceMicros,
    double kiloContextMicros,
    double prefillTokenMicros,
    int prefillChunkTokens) {

  private static final double NANOS_PER_MICRO = 1_000;
  private static final double KILO = 1_000;

  /** Validates the components. */
  public EngineTiming {
    SettingsChecks.positive(stepMicros, "stepMicros");
    SettingsChecks.notNegative(sequenceMicros, "sequenceMicros");
    SettingsChecks.notNegative(kiloContextMicros, "kiloContextMicros");
    SettingsChecks.notNegative(prefillTokenMicros, "prefillTokenMicros");
    SettingsChecks.positive(prefillChunkTokens, "prefillChunkTokens");
  }

  /** Returns the duration of a step in nanoseconds. */
  public long stepNanos(int prefillTokens, int sequences, long contextTokens) {
    double micros =
        stepMicros
            + sequenceMicros * sequences
            + kiloContextMicros * contextTokens / KILO
            + prefillTokenMicros * prefillTokens;
    return Math.round(micros * NANOS_PER_MICRO);
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link EngineTiming} instances. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private double stepMicros = 12_000;
    private double sequenceMicros = 250;
    private double kiloContextMicros = 100;
    private double prefillTokenMicros = 60;
    private int prefillChunkTokens = 512;

    private Builder() {}

    /** Sets the fixed time of every step; 12,000 by default. */
    public Builder stepMicros(double value) {
      stepMicros = value;
      return this;
    }

    /** Sets the time for each decoding sequence; 250 by default. */
    public Builder sequenceMicros(double value) {
      sequenceMicros = value;
      return this;
    }

    /** Sets the time for every thousand context tokens; 100 by default. */
    public Builder kiloContextMicros(double value) {
      kiloContextMicros = value;
      return this;
    }

    /** Sets the time for each prefilled token; 60 by default. */
    public Builder prefillTokenMicros(double value) {
      prefillTokenMicros = value;
      return this;
    }

    /** Sets the maximum number of tokens that a step prefills; 512 by default. */
    public Builder prefillChunkTokens(int value) {
      prefillChunkTokens = value;
      return this;
    }

    /** Returns the settings after validation. */
    public EngineTiming build() {
      return new EngineTiming(
          stepMicros, sequenceMicros, kiloContextMicros, prefillTokenMicros, prefillChunkTokens);
    }
  }
}

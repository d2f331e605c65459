package io.hawthornlb.standin.engine;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * How long the steps of an engine take. A step decodes one token of each running sequence and
 * prefills some tokens of those that have just begun.
 *
 * @param stepMicros time of any step
 * @param sequenceMicros time for each sequence that decodes
 * @param kiloContextMicros time for each thousand tokens of context of these sequences
 * @param prefillTokenMicros time for each prompt token that is prefilled
 * @param prefillChunkTokens prompt tokens that a step prefills at most
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

  /** Checks the values. */
  public EngineTiming {
    SettingsChecks.positive(stepMicros, "stepMicros");
    SettingsChecks.notNegative(sequenceMicros, "sequenceMicros");
    SettingsChecks.notNegative(kiloContextMicros, "kiloContextMicros");
    SettingsChecks.notNegative(prefillTokenMicros, "prefillTokenMicros");
    SettingsChecks.positive(prefillChunkTokens, "prefillChunkTokens");
  }

  /** Returns the time of a step in nanoseconds. */
  public long stepNanos(int prefillTokens, int sequences, long contextTokens) {
    double micros =
        stepMicros
            + sequenceMicros * sequences
            + kiloContextMicros * contextTokens / KILO
            + prefillTokenMicros * prefillTokens;
    return Math.round(micros * NANOS_PER_MICRO);
  }

  /** Returns a builder with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the values. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private double stepMicros = 12_000;
    private double sequenceMicros = 250;
    private double kiloContextMicros = 100;
    private double prefillTokenMicros = 60;
    private int prefillChunkTokens = 512;

    private Builder() {}

    /** Sets the time of any step; 12,000 by default. */
    public Builder stepMicros(double value) {
      stepMicros = value;
      return this;
    }

    /** Sets the time for each sequence; 250 by default. */
    public Builder sequenceMicros(double value) {
      sequenceMicros = value;
      return this;
    }

    /** Sets the time for each thousand tokens of context; 100 by default. */
    public Builder kiloContextMicros(double value) {
      kiloContextMicros = value;
      return this;
    }

    /** Sets the time for each token prefilled; 60 by default. */
    public Builder prefillTokenMicros(double value) {
      prefillTokenMicros = value;
      return this;
    }

    /** Sets the tokens that a step prefills at most; 512 by default. */
    public Builder prefillChunkTokens(int value) {
      prefillChunkTokens = value;
      return this;
    }

    /** Returns the checked values. */
    public EngineTiming build() {
      return new EngineTiming(
          stepMicros, sequenceMicros, kiloContextMicros, prefillTokenMicros, prefillChunkTokens);
    }
  }
}

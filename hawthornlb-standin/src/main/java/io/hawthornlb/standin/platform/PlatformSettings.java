package io.hawthornlb.standin.platform;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonPOJOBuilder;
import io.hawthornlb.standin.support.SettingsChecks;

/**
 * Settings of the platform stand-in.
 *
 * @param port the port on 127.0.0.1, or 0 for any free port
 * @param appendsPerSecond the allowed append calls per second, over all streams
 * @param appendBurst the append calls allowed in a burst
 * @param retentionMillis the time in milliseconds for which records are kept
 * @param retentionRecords the maximum number of records that a stream keeps
 * @param instanceListLagMillis the age in milliseconds of the instance list that readers see
 * @param instanceTtlMillis the time in milliseconds after which an announcement expires unless it
 *     is repeated; 0 means that announcements never expire
 * @param weightsPerSecond the allowed reads of the weight store per second
 * @param weightBurst the reads of the weight store allowed in a burst
 * @param weightBytes the size of each model's weights in bytes
 * @param eventLoopThreads the number of threads that serve connections
 */
@JsonDeserialize(builder = PlatformSettings.Builder.class)
public record PlatformSettings(
    int port,
    double appendsPerSecond,
    double appendBurst,
    long retentionMillis,
    int retentionRecords,
    long instanceListLagMillis,
    long instanceTtlMillis,
    double weightsPerSecond,
    double weightBurst,
    int weightBytes,
    int eventLoopThreads) {

  /** Validates the components. */
  public PlatformSettings {
    SettingsChecks.isTrue(port >= 0 && port <= 65_535, "port must be 0 to 65535, was " + port);
    SettingsChecks.positive(appendsPerSecond, "appendsPerSecond");
    SettingsChecks.isTrue(appendBurst >= 1, "appendBurst must be at least 1");
    SettingsChecks.positive(retentionMillis, "retentionMillis");
    SettingsChecks.positive(retentionRecords, "retentionRecords");
    SettingsChecks.notNegative(instanceListLagMillis, "instanceListLagMillis");
    SettingsChecks.notNegative(instanceTtlMillis, "instanceTtlMillis");
    SettingsChecks.positive(weightsPerSecond, "weightsPerSecond");
    SettingsChecks.isTrue(weightBurst >= 1, "weightBurst must be at least 1");
    SettingsChecks.notNegative(weightBytes, "weightBytes");
    SettingsChecks.positive(eventLoopThreads, "eventLoopThreads");
  }

  /** Returns a builder that holds the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds {@link PlatformSettings} instances. */
  @JsonPOJOBuilder(withPrefix = "")
  public static final class Builder {

    private int port;
    private double appendsPerSecond = 400;
    private double appendBurst = 40;
    private long retentionMillis = 3_600_000;
    private int retentionRecords = 200_000;
    private long instanceListLagMillis = 1_000;
    private long instanceTtlMillis = 10_000;
    private double weightsPerSecond = 0.5;
    private double weightBurst = 1;
    private int weightBytes = 65_536;
    private int eventLoopThreads = 4;

    private Builder() {}

    /** Sets the port; 0 by default. */
    public Builder port(int value) {
      port = value;
      return this;
    }

    /** Sets the allowed append calls per second; 400 by default. */
    public Builder appendsPerSecond(double value) {
      appendsPerSecond = value;
      return this;
    }

    /** Sets the append calls allowed in a burst; 40 by default. */
    public Builder appendBurst(double value) {
      appendBurst = value;
      return this;
    }

    /** Sets how many milliseconds records are kept; an hour by default. */
    public Builder retentionMillis(long value) {
      retentionMillis = value;
      return this;
    }

    /** Sets how many records a stream keeps at most; 200,000 by default. */
    public Builder retentionRecords(int value) {
      retentionRecords = value;
      return this;
    }

    /** Sets the age of the instance list in milliseconds; 1,000 by default. */
    public Builder instanceListLagMillis(long value) {
      instanceListLagMillis = value;
      return this;
    }

    /** Sets how many milliseconds an announcement is valid; 10,000 by default. */
    public Builder instanceTtlMillis(long value) {
      instanceTtlMillis = value;
      return this;
    }

    /** Sets the allowed reads of weights per second; 0.5 by default. */
    public Builder weightsPerSecond(double value) {
      weightsPerSecond = value;
      return this;
    }

    /** Sets the reads of weights allowed in a burst; 1 by default. */
    public Builder weightBurst(double value) {
      weightBurst = value;
      return this;
    }

    /** Sets the size of each model's weights in bytes; 65,536 by default. */
    public Builder weightBytes(int value) {
      weightBytes = value;
      return this;
    }

    /** Sets the number of threads that serve connections; 4 by default. */
    public Builder eventLoopThreads(int value) {
      eventLoopThreads = value;
      return this;
    }

    /** Returns the settings after validation. */
    public PlatformSettings build() {
      return new PlatformSettings(
          port,
          appendsPerSecond,
          appendBurst,
          retentionMillis,
          retentionRecords,
          instanceListLagMillis,
          instanceTtlMillis,
          weightsPerSecond,
          weightBurst,
          weightBytes,
          eventLoopThreads);
    }
  }
}

package io.hawthornlb.core.runonce;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/** Limits and times of run-once requests. */
public final class RunOnceSettings {

  private final int maxRuns;
  private final int maxWaiters;
  private final int maxKeys;
  private final int maxResultBytes;
  private final int groupEntries;
  private final int witnessTolerance;
  private final Duration groupDelay;
  private final Duration followDelay;
  private final Duration durabilityTimeout;
  private final Duration outcomeHold;
  private final Duration resendInterval;
  private final Duration recoveryTimeout;
  private final Duration maxWitnessOnly;
  private final Duration keyRetention;
  private final Duration logRetention;

  private RunOnceSettings(Builder builder) {
    this.maxRuns = builder.maxRuns;
    this.maxWaiters = builder.maxWaiters;
    this.maxKeys = builder.maxKeys;
    this.maxResultBytes = builder.maxResultBytes;
    this.groupEntries = builder.groupEntries;
    this.witnessTolerance = builder.witnessTolerance;
    this.groupDelay = builder.groupDelay;
    this.followDelay = builder.followDelay;
    this.durabilityTimeout = builder.durabilityTimeout;
    this.outcomeHold = builder.outcomeHold;
    this.resendInterval = builder.resendInterval;
    this.recoveryTimeout = builder.recoveryTimeout;
    this.maxWitnessOnly = builder.maxWitnessOnly;
    this.keyRetention = builder.keyRetention;
    this.logRetention = builder.logRetention;
    Checks.isTrue(maxRuns > 0, "max runs must be positive");
    Checks.isTrue(groupEntries > 0, "group entries must be positive");
  }

  /** Starts settings with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the largest number of requests that are not wholly in the log; 10,000 by default. */
  public int maxRuns() {
    return maxRuns;
  }

  /** Returns the largest number of callers that wait; 10,000 by default. */
  public int maxWaiters() {
    return maxWaiters;
  }

  /** Returns the largest number of remembered keys of a partition; 200,000 by default. */
  public int maxKeys() {
    return maxKeys;
  }

  /** Returns how many bytes of results may wait for the log; 8 MiB by default. */
  public int maxResultBytes() {
    return maxResultBytes;
  }

  /** Returns the largest number of entries in a record; 500 by default. */
  public int groupEntries() {
    return groupEntries;
  }

  /**
   * Returns how many members of a set of witnesses may be silent when an intent is stored; 1 by
   * default.
   *
   * <p>At most one for every three witnesses: a holder with two witnesses tolerates none, one with
   * three tolerates one, and its entries are then recovered from any two members.
   */
  public int witnessTolerance() {
    return witnessTolerance;
  }

  /** Returns how long an entry waits for others while the log alone is durable; 5 ms. */
  public Duration groupDelay() {
    return groupDelay;
  }

  /** Returns how long an entry waits for others while the witnesses answer; 200 ms. */
  public Duration followDelay() {
    return followDelay;
  }

  /** Returns how long an intent may take to become durable; 2 seconds by default. */
  public Duration durabilityTimeout() {
    return durabilityTimeout;
  }

  /** Returns how long a result waits to be durable before the caller gets it; 250 ms. */
  public Duration outcomeHold() {
    return outcomeHold;
  }

  /** Returns after how long a witness is asked again; 200 ms by default. */
  public Duration resendInterval() {
    return resendInterval;
  }

  /** Returns how long a new holder asks for the witnesses of earlier ones; 30 seconds. */
  public Duration recoveryTimeout() {
    return recoveryTimeout;
  }

  /** Returns how long witnesses go on alone while the log does not follow; 1 hour. */
  public Duration maxWitnessOnly() {
    return maxWitnessOnly;
  }

  /** Returns how long keys are remembered at least; 24 hours by default. */
  public Duration keyRetention() {
    return keyRetention;
  }

  /** Returns how long the platform keeps records; 24 hours by default. */
  public Duration logRetention() {
    return logRetention;
  }

  /** Collects the values of {@link RunOnceSettings}. */
  public static final class Builder {

    private int maxRuns = 10_000;
    private int maxWaiters = 10_000;
    private int maxKeys = 200_000;
    private int maxResultBytes = 8 << 20;
    private int groupEntries = 500;
    private int witnessTolerance = 1;
    private Duration groupDelay = Duration.ofMillis(5);
    private Duration followDelay = Duration.ofMillis(200);
    private Duration durabilityTimeout = Duration.ofSeconds(2);
    private Duration outcomeHold = Duration.ofMillis(250);
    private Duration resendInterval = Duration.ofMillis(200);
    private Duration recoveryTimeout = Duration.ofSeconds(30);
    private Duration maxWitnessOnly = Duration.ofHours(1);
    private Duration keyRetention = Duration.ofHours(24);
    private Duration logRetention = Duration.ofHours(24);

    private Builder() {}

    /** Sets the largest number of requests that are not wholly in the log. */
    public Builder maxRuns(int value) {
      this.maxRuns = value;
      return this;
    }

    /** Sets the largest number of callers that wait. */
    public Builder maxWaiters(int value) {
      this.maxWaiters = value;
      return this;
    }

    /** Sets the largest number of remembered keys. */
    public Builder maxKeys(int value) {
      this.maxKeys = value;
      return this;
    }

    /** Sets how many bytes of results may wait for the log. */
    public Builder maxResultBytes(int value) {
      this.maxResultBytes = value;
      return this;
    }

    /** Sets the largest number of entries in a record. */
    public Builder groupEntries(int value) {
      this.groupEntries = value;
      return this;
    }

    /** Sets how many members of a set of witnesses may be silent. */
    public Builder witnessTolerance(int value) {
      this.witnessTolerance = value;
      return this;
    }

    /** Sets how long an entry waits for others while the log alone is durable. */
    public Builder groupDelay(Duration value) {
      this.groupDelay = value;
      return this;
    }

    /** Sets how long an entry waits for others while the witnesses answer. */
    public Builder followDelay(Duration value) {
      this.followDelay = value;
      return this;
    }

    /** Sets how long an intent may take to become durable. */
    public Builder durabilityTimeout(Duration value) {
      this.durabilityTimeout = value;
      return this;
    }

    /** Sets how long a result waits to be durable. */
    public Builder outcomeHold(Duration value) {
      this.outcomeHold = value;
      return this;
    }

    /** Sets after how long a witness is asked again. */
    public Builder resendInterval(Duration value) {
      this.resendInterval = value;
      return this;
    }

    /** Sets how long a new holder asks for the witnesses of earlier ones. */
    public Builder recoveryTimeout(Duration value) {
      this.recoveryTimeout = value;
      return this;
    }

    /** Sets how long witnesses go on alone. */
    public Builder maxWitnessOnly(Duration value) {
      this.maxWitnessOnly = value;
      return this;
    }

    /** Sets how long keys are remembered at least. */
    public Builder keyRetention(Duration value) {
      this.keyRetention = value;
      return this;
    }

    /** Sets how long the platform keeps records. */
    public Builder logRetention(Duration value) {
      this.logRetention = value;
      return this;
    }

    /** Returns the settings. */
    public RunOnceSettings build() {
      return new RunOnceSettings(this);
    }
  }
}

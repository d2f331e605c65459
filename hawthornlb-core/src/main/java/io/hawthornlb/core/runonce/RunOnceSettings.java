package io.hawthornlb.core.runonce;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/** Limits and time spans for run-once requests. */
public final class RunOnceSettings {

  private final int maxRuns;
  private final int maxWaiters;
  private final int maxKeys;
  private final int maxResultBytes;
  private final int maxGroupEntries;
  private final int replicaTolerance;
  private final Duration groupDelay;
  private final Duration replicatedGroupDelay;
  private final Duration durabilityTimeout;
  private final Duration outcomeHold;
  private final Duration resendInterval;
  private final Duration recoveryTimeout;
  private final Duration maxReplicaOnly;
  private final Duration keyRetention;
  private final Duration logRetention;

  private RunOnceSettings(Builder builder) {
    this.maxRuns = builder.maxRuns;
    this.maxWaiters = builder.maxWaiters;
    this.maxKeys = builder.maxKeys;
    this.maxResultBytes = builder.maxResultBytes;
    this.maxGroupEntries = builder.maxGroupEntries;
    this.replicaTolerance = builder.replicaTolerance;
    this.groupDelay = builder.groupDelay;
    this.replicatedGroupDelay = builder.replicatedGroupDelay;
    this.durabilityTimeout = builder.durabilityTimeout;
    this.outcomeHold = builder.outcomeHold;
    this.resendInterval = builder.resendInterval;
    this.recoveryTimeout = builder.recoveryTimeout;
    this.maxReplicaOnly = builder.maxReplicaOnly;
    this.keyRetention = builder.keyRetention;
    this.logRetention = builder.logRetention;
    Checks.isTrue(maxRuns > 0, "max runs must be positive");
    Checks.isTrue(maxGroupEntries > 0, "max group entries must be positive");
  }

  /** Returns a builder with the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the maximum number of requests of a partition whose outcome is not yet in the log;
   * 10,000 by default.
   */
  public int maxRuns() {
    return maxRuns;
  }

  /** Returns the maximum number of callers that wait for an answer; 10,000 by default. */
  public int maxWaiters() {
    return maxWaiters;
  }

  /** Returns the maximum number of unexpired keys of a partition; 200,000 by default. */
  public int maxKeys() {
    return maxKeys;
  }

  /**
   * Returns the maximum number of bytes of results that wait to be appended to the log; 8 MiB by
   * default.
   */
  public int maxResultBytes() {
    return maxResultBytes;
  }

  /** Returns the maximum number of entries in a log record; 500 by default. */
  public int maxGroupEntries() {
    return maxGroupEntries;
  }

  /**
   * Returns how many members of a replica set may fail to respond when an intent is stored; 1 by
   * default.
   *
   * <p>At most one member is tolerated for every three replicas. A holder with two replicas
   * tolerates none. A holder with three replicas tolerates one, and a successor then recovers its
   * entries from any two members.
   */
  public int replicaTolerance() {
    return replicaTolerance;
  }

  /**
   * Returns how long a log entry waits to be grouped with others while only the log makes entries
   * durable; 5 ms by default.
   */
  public Duration groupDelay() {
    return groupDelay;
  }

  /**
   * Returns how long a log entry waits to be grouped with others while the replicas respond and
   * make entries durable first; 200 ms by default.
   */
  public Duration replicatedGroupDelay() {
    return replicatedGroupDelay;
  }

  /** Returns the timeout for an intent to become durable; 2 seconds by default. */
  public Duration durabilityTimeout() {
    return durabilityTimeout;
  }

  /**
   * Returns how long the result of a request is held back so that it can become durable. After this
   * time the caller gets the result even if it is not durable; 250 ms by default.
   */
  public Duration outcomeHold() {
    return outcomeHold;
  }

  /**
   * Returns the interval after which an unanswered request to a replica is sent again; 200 ms by
   * default.
   */
  public Duration resendInterval() {
    return resendInterval;
  }

  /**
   * Returns how long a new holder tries to reach the replicas of earlier epochs before it starts
   * without them; 30 seconds by default.
   */
  public Duration recoveryTimeout() {
    return recoveryTimeout;
  }

  /**
   * Returns how long intents may become durable at replicas alone while the log accepts no appends;
   * 1 hour by default.
   */
  public Duration maxReplicaOnly() {
    return maxReplicaOnly;
  }

  /** Returns the minimum time for which a key is kept; 24 hours by default. */
  public Duration keyRetention() {
    return keyRetention;
  }

  /** Returns how long the platform retains log records; 24 hours by default. */
  public Duration logRetention() {
    return logRetention;
  }

  /** Builder for {@link RunOnceSettings}. */
  public static final class Builder {

    private int maxRuns = 10_000;
    private int maxWaiters = 10_000;
    private int maxKeys = 200_000;
    private int maxResultBytes = 8 << 20;
    private int maxGroupEntries = 500;
    private int replicaTolerance = 1;
    private Duration groupDelay = Duration.ofMillis(5);
    private Duration replicatedGroupDelay = Duration.ofMillis(200);
    private Duration durabilityTimeout = Duration.ofSeconds(2);
    private Duration outcomeHold = Duration.ofMillis(250);
    private Duration resendInterval = Duration.ofMillis(200);
    private Duration recoveryTimeout = Duration.ofSeconds(30);
    private Duration maxReplicaOnly = Duration.ofHours(1);
    private Duration keyRetention = Duration.ofHours(24);
    private Duration logRetention = Duration.ofHours(24);

    private Builder() {}

    /** Sets the maximum number of requests whose outcome is not yet in the log. */
    public Builder maxRuns(int value) {
      this.maxRuns = value;
      return this;
    }

    /** Sets the maximum number of callers that wait for an answer. */
    public Builder maxWaiters(int value) {
      this.maxWaiters = value;
      return this;
    }

    /** Sets the maximum number of unexpired keys. */
    public Builder maxKeys(int value) {
      this.maxKeys = value;
      return this;
    }

    /** Sets the maximum number of bytes of results that wait to be appended to the log. */
    public Builder maxResultBytes(int value) {
      this.maxResultBytes = value;
      return this;
    }

    /** Sets the maximum number of entries in a log record. */
    public Builder maxGroupEntries(int value) {
      this.maxGroupEntries = value;
      return this;
    }

    /** Sets how many members of a replica set may fail to respond when an intent is stored. */
    public Builder replicaTolerance(int value) {
      this.replicaTolerance = value;
      return this;
    }

    /**
     * Sets how long a log entry waits to be grouped with others while only the log makes entries
     * durable.
     */
    public Builder groupDelay(Duration value) {
      this.groupDelay = value;
      return this;
    }

    /** Sets how long a log entry waits to be grouped with others while the replicas respond. */
    public Builder replicatedGroupDelay(Duration value) {
      this.replicatedGroupDelay = value;
      return this;
    }

    /** Sets the timeout for an intent to become durable. */
    public Builder durabilityTimeout(Duration value) {
      this.durabilityTimeout = value;
      return this;
    }

    /** Sets how long a result is held back until it is durable. */
    public Builder outcomeHold(Duration value) {
      this.outcomeHold = value;
      return this;
    }

    /** Sets the interval after which an unanswered request to a replica is sent again. */
    public Builder resendInterval(Duration value) {
      this.resendInterval = value;
      return this;
    }

    /** Sets how long a new holder tries to reach the replicas of earlier epochs. */
    public Builder recoveryTimeout(Duration value) {
      this.recoveryTimeout = value;
      return this;
    }

    /** Sets how long intents may become durable at replicas alone. */
    public Builder maxReplicaOnly(Duration value) {
      this.maxReplicaOnly = value;
      return this;
    }

    /** Sets the minimum time for which a key is kept. */
    public Builder keyRetention(Duration value) {
      this.keyRetention = value;
      return this;
    }

    /** Sets how long the platform retains log records. */
    public Builder logRetention(Duration value) {
      this.logRetention = value;
      return this;
    }

    /** Returns settings with the values of this builder. */
    public RunOnceSettings build() {
      return new RunOnceSettings(this);
    }
  }
}

package io.hawthornlb.core.job;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/** Limits and timeouts of a job coordinator. */
public final class JobSettings {

  private final int maxJobs;
  private final int maxPendingRequests;
  private final int maxInFlight;
  private final int maxAttempts;
  private final int groupItems;
  private final int groupBytes;
  private final int maxBufferedBytes;
  private final Duration groupDelay;
  private final Duration retryDelay;
  private final Duration dispatcherTimeout;
  private final Duration adoptionDelay;
  private final Duration answerTimeout;
  private final Duration logRetention;

  private JobSettings(Builder builder) {
    this.maxJobs = builder.maxJobs;
    this.maxPendingRequests = builder.maxPendingRequests;
    this.maxInFlight = builder.maxInFlight;
    this.maxAttempts = builder.maxAttempts;
    this.groupItems = builder.groupItems;
    this.groupBytes = builder.groupBytes;
    this.maxBufferedBytes = builder.maxBufferedBytes;
    this.groupDelay = builder.groupDelay;
    this.retryDelay = builder.retryDelay;
    this.dispatcherTimeout = builder.dispatcherTimeout;
    this.adoptionDelay = builder.adoptionDelay;
    this.answerTimeout = builder.answerTimeout;
    this.logRetention = builder.logRetention;
    Checks.isTrue(maxAttempts > 0, "max attempts must be positive");
    Checks.isTrue(groupItems > 0, "group items must be positive");
    Checks.isTrue(
        maxBufferedBytes >= groupBytes, "max buffered bytes must not be below group bytes");
  }

  /** Returns a builder that starts from the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the largest number of known jobs in a partition; 2,000 by default. */
  public int maxJobs() {
    return maxJobs;
  }

  /**
   * Returns the largest number of submissions and cancellations whose answers wait for the log;
   * 1,000 by default.
   */
  public int maxPendingRequests() {
    return maxPendingRequests;
  }

  /**
   * Returns the largest number of items that are assigned to dispatchers or wait for a retry;
   * 10,000 by default.
   */
  public int maxInFlight() {
    return maxInFlight;
  }

  /** Returns the number of failed attempts after which an item ends as failed; 5 by default. */
  public int maxAttempts() {
    return maxAttempts;
  }

  /**
   * Returns the number of buffered outcomes at which the buffer is flushed to the log; 500 by
   * default.
   */
  public int groupItems() {
    return groupItems;
  }

  /**
   * Returns the number of buffered bytes of results at which the buffer is flushed to the log; 256
   * KiB by default.
   */
  public int groupBytes() {
    return groupBytes;
  }

  /**
   * Returns how many bytes of results may wait to appear in the log; at this limit the coordinator
   * dispatches no further item. 4 MiB by default.
   */
  public int maxBufferedBytes() {
    return maxBufferedBytes;
  }

  /**
   * Returns the longest time that an outcome waits in the buffer for further outcomes; 2 seconds by
   * default.
   */
  public Duration groupDelay() {
    return groupDelay;
  }

  /**
   * Returns the delay of the retry after the first failed attempt of an item; 1 second by default.
   * Each further failed attempt doubles the delay, up to 64 times this value.
   */
  public Duration retryDelay() {
    return retryDelay;
  }

  /**
   * Returns after what time without a report of an assigned item the item counts as lost by its
   * dispatcher; 10 seconds by default.
   */
  public Duration dispatcherTimeout() {
    return dispatcherTimeout;
  }

  /**
   * Returns how long a new holder waits for dispatchers to report the items that they have in
   * progress, before it dispatches items; 2 seconds by default.
   */
  public Duration adoptionDelay() {
    return adoptionDelay;
  }

  /**
   * Returns how long a submission or cancellation waits for the log before it is refused; 10
   * seconds by default.
   */
  public Duration answerTimeout() {
    return answerTimeout;
  }

  /** Returns how long the platform keeps the records of the log; 24 hours by default. */
  public Duration logRetention() {
    return logRetention;
  }

  /** Collects the values of {@link JobSettings}. */
  public static final class Builder {

    private int maxJobs = 2_000;
    private int maxPendingRequests = 1_000;
    private int maxInFlight = 10_000;
    private int maxAttempts = 5;
    private int groupItems = 500;
    private int groupBytes = 256 << 10;
    private int maxBufferedBytes = 4 << 20;
    private Duration groupDelay = Duration.ofSeconds(2);
    private Duration retryDelay = Duration.ofSeconds(1);
    private Duration dispatcherTimeout = Duration.ofSeconds(10);
    private Duration adoptionDelay = Duration.ofSeconds(2);
    private Duration answerTimeout = Duration.ofSeconds(10);
    private Duration logRetention = Duration.ofHours(24);

    private Builder() {}

    /** Sets the largest number of known jobs in a partition. */
    public Builder maxJobs(int value) {
      this.maxJobs = value;
      return this;
    }

    /** Sets the largest number of submissions and cancellations whose answers wait for the log. */
    public Builder maxPendingRequests(int value) {
      this.maxPendingRequests = value;
      return this;
    }

    /** Sets the largest number of items that are assigned to dispatchers or wait for a retry. */
    public Builder maxInFlight(int value) {
      this.maxInFlight = value;
      return this;
    }

    /** Sets the number of failed attempts after which an item ends as failed. */
    public Builder maxAttempts(int value) {
      this.maxAttempts = value;
      return this;
    }

    /** Sets the number of buffered outcomes at which the buffer is flushed. */
    public Builder groupItems(int value) {
      this.groupItems = value;
      return this;
    }

    /** Sets the number of buffered bytes of results at which the buffer is flushed. */
    public Builder groupBytes(int value) {
      this.groupBytes = value;
      return this;
    }

    /** Sets how many bytes of results may wait to appear in the log. */
    public Builder maxBufferedBytes(int value) {
      this.maxBufferedBytes = value;
      return this;
    }

    /** Sets the longest time that an outcome waits in the buffer. */
    public Builder groupDelay(Duration value) {
      this.groupDelay = value;
      return this;
    }

    /** Sets the delay of the retry after the first failed attempt. */
    public Builder retryDelay(Duration value) {
      this.retryDelay = value;
      return this;
    }

    /** Sets after what time without a report an assigned item counts as lost by its dispatcher. */
    public Builder dispatcherTimeout(Duration value) {
      this.dispatcherTimeout = value;
      return this;
    }

    /** Sets how long a new holder waits for the reports of dispatchers. */
    public Builder adoptionDelay(Duration value) {
      this.adoptionDelay = value;
      return this;
    }

    /** Sets how long a submission or cancellation waits for the log. */
    public Builder answerTimeout(Duration value) {
      this.answerTimeout = value;
      return this;
    }

    /** Sets how long the platform keeps the records of the log. */
    public Builder logRetention(Duration value) {
      this.logRetention = value;
      return this;
    }

    /** Returns the settings. */
    public JobSettings build() {
      return new JobSettings(this);
    }
  }
}

package io.hawthornlb.core.job;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/** Limits and times of a job coordinator. */
public final class JobSettings {

  private final int maxJobs;
  private final int maxQuestions;
  private final int maxInFlight;
  private final int maxAttempts;
  private final int groupItems;
  private final int groupBytes;
  private final int maxBufferedBytes;
  private final Duration groupDelay;
  private final Duration retryDelay;
  private final Duration stewardTimeout;
  private final Duration adoptionDelay;
  private final Duration answerTimeout;
  private final Duration logRetention;

  private JobSettings(Builder builder) {
    this.maxJobs = builder.maxJobs;
    this.maxQuestions = builder.maxQuestions;
    this.maxInFlight = builder.maxInFlight;
    this.maxAttempts = builder.maxAttempts;
    this.groupItems = builder.groupItems;
    this.groupBytes = builder.groupBytes;
    this.maxBufferedBytes = builder.maxBufferedBytes;
    this.groupDelay = builder.groupDelay;
    this.retryDelay = builder.retryDelay;
    this.stewardTimeout = builder.stewardTimeout;
    this.adoptionDelay = builder.adoptionDelay;
    this.answerTimeout = builder.answerTimeout;
    this.logRetention = builder.logRetention;
    Checks.isTrue(maxAttempts > 0, "max attempts must be positive");
    Checks.isTrue(groupItems > 0, "group items must be positive");
    Checks.isTrue(maxBufferedBytes >= groupBytes, "the buffer must hold a group");
  }

  /** Starts settings with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the largest number of known jobs of a partition; 2,000 by default. */
  public int maxJobs() {
    return maxJobs;
  }

  /** Returns the largest number of questions that wait for the log; 1,000 by default. */
  public int maxQuestions() {
    return maxQuestions;
  }

  /** Returns the largest number of items with stewards or waiting to be retried; 10,000. */
  public int maxInFlight() {
    return maxInFlight;
  }

  /** Returns after how many failed attempts an item ends as failed; 5 by default. */
  public int maxAttempts() {
    return maxAttempts;
  }

  /** Returns how many outcomes make a group full; 500 by default. */
  public int groupItems() {
    return groupItems;
  }

  /** Returns how many bytes of results make a group full; 256 KiB by default. */
  public int groupBytes() {
    return groupBytes;
  }

  /** Returns how many bytes of results may wait for the log; 4 MiB by default. */
  public int maxBufferedBytes() {
    return maxBufferedBytes;
  }

  /** Returns how long an outcome waits for others at most; 2 seconds by default. */
  public Duration groupDelay() {
    return groupDelay;
  }

  /** Returns how long an item waits after its first failed attempt; 1 second, then doubled. */
  public Duration retryDelay() {
    return retryDelay;
  }

  /** Returns after how long without word of an item its steward is taken for lost; 10 seconds. */
  public Duration stewardTimeout() {
    return stewardTimeout;
  }

  /** Returns how long a new holder waits for stewards to name what they run; 2 seconds. */
  public Duration adoptionDelay() {
    return adoptionDelay;
  }

  /** Returns how long a question waits for the log; 10 seconds by default. */
  public Duration answerTimeout() {
    return answerTimeout;
  }

  /** Returns how long the platform keeps records; 24 hours by default. */
  public Duration logRetention() {
    return logRetention;
  }

  /** Collects the values of {@link JobSettings}. */
  public static final class Builder {

    private int maxJobs = 2_000;
    private int maxQuestions = 1_000;
    private int maxInFlight = 10_000;
    private int maxAttempts = 5;
    private int groupItems = 500;
    private int groupBytes = 256 << 10;
    private int maxBufferedBytes = 4 << 20;
    private Duration groupDelay = Duration.ofSeconds(2);
    private Duration retryDelay = Duration.ofSeconds(1);
    private Duration stewardTimeout = Duration.ofSeconds(10);
    private Duration adoptionDelay = Duration.ofSeconds(2);
    private Duration answerTimeout = Duration.ofSeconds(10);
    private Duration logRetention = Duration.ofHours(24);

    private Builder() {}

    /** Sets the largest number of known jobs. */
    public Builder maxJobs(int value) {
      this.maxJobs = value;
      return this;
    }

    /** Sets the largest number of waiting questions. */
    public Builder maxQuestions(int value) {
      this.maxQuestions = value;
      return this;
    }

    /** Sets the largest number of items in flight. */
    public Builder maxInFlight(int value) {
      this.maxInFlight = value;
      return this;
    }

    /** Sets after how many failed attempts an item ends. */
    public Builder maxAttempts(int value) {
      this.maxAttempts = value;
      return this;
    }

    /** Sets how many outcomes make a group full. */
    public Builder groupItems(int value) {
      this.groupItems = value;
      return this;
    }

    /** Sets how many bytes make a group full. */
    public Builder groupBytes(int value) {
      this.groupBytes = value;
      return this;
    }

    /** Sets how many bytes may wait for the log. */
    public Builder maxBufferedBytes(int value) {
      this.maxBufferedBytes = value;
      return this;
    }

    /** Sets how long an outcome waits for others. */
    public Builder groupDelay(Duration value) {
      this.groupDelay = value;
      return this;
    }

    /** Sets how long an item waits after a failed attempt. */
    public Builder retryDelay(Duration value) {
      this.retryDelay = value;
      return this;
    }

    /** Sets after how long a silent steward is taken for lost. */
    public Builder stewardTimeout(Duration value) {
      this.stewardTimeout = value;
      return this;
    }

    /** Sets how long a new holder waits for stewards. */
    public Builder adoptionDelay(Duration value) {
      this.adoptionDelay = value;
      return this;
    }

    /** Sets how long a question waits for the log. */
    public Builder answerTimeout(Duration value) {
      this.answerTimeout = value;
      return this;
    }

    /** Sets how long the platform keeps records. */
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

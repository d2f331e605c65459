package io.hawthornlb.gateway.job;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** Rank of an item by the completion of its job, computed at intervals. */
final class CompletionRank {

  /**
   * Time for which a rank stays valid. All waiting items of a partition, thousands after an outage,
   * are compared each time that a request is sent.
   */
  private static final Duration INTERVAL = Duration.ofMillis(100);

  private final Job job;
  private final ItemRoute route;
  private final ItemRunTime runTime;
  private final InstantSource clock;
  private Instant rankedAt = Instant.EPOCH;
  private long rank;

  CompletionRank(Job job, ItemRoute route, ItemRunTime runTime, InstantSource clock) {
    this.job = job;
    this.route = route;
    this.runTime = runTime;
    this.clock = clock;
  }

  /** Returns the rank; the lowest goes first. */
  long value() {
    Instant now = clock.instant();
    if (!now.isBefore(rankedAt.plus(INTERVAL))) {
      rankedAt = now;
      rank = JobCompletionOrder.rank(job, route.due(), runTime.mean(), now);
    }
    return rank;
  }
}

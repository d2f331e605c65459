package io.hawthornlb.gateway.job;

import java.time.Duration;
import java.time.Instant;

/**
 * Ranks the items of jobs where callers compete for capacity.
 *
 * <p>A job is of use to its caller once it is complete. If items ran by due time alone while six
 * times the usual jobs arrive, all jobs would be half done when they are due. So items of jobs that
 * can still complete in full in time go before those of jobs that can't, and among them those of a
 * job that has begun before those of one that hasn't, so that few jobs are open concurrently.
 */
final class JobCompletionOrder {

  /**
   * Added to the rank of items of jobs that have not begun: longer than jobs are apart, so that
   * begun jobs go first, and shorter than {@link #HOPELESS_OFFSET}.
   */
  private static final Duration NOT_BEGUN_OFFSET = Duration.ofMinutes(10);

  /** Added to the rank of items of jobs that can't complete in time; longer than any job lasts. */
  private static final Duration HOPELESS_OFFSET = Duration.ofHours(1);

  private JobCompletionOrder() {}

  /**
   * Returns the rank of an item of a job; the item with the lowest rank goes first. It is the due
   * time, later by an offset for items that go behind others.
   *
   * @param estimate estimates the remaining run time of each item of the job
   */
  static long rank(Job job, Instant due, RunEstimate estimate, Instant now) {
    boolean begun = job.resultCount() > 0;
    Duration longest = Duration.ZERO;
    for (JobItem item : job.items()) {
      if (!job.listed(item.id())) {
        long lastEvent = job.progress(item.id()).lastEventId();
        begun |= lastEvent >= 0;
        Duration remaining = estimate.remaining(lastEvent);
        longest = remaining.compareTo(longest) > 0 ? remaining : longest;
      }
    }
    // The items of a job run side by side, so the longest one decides.
    if (now.plus(longest).isAfter(due)) {
      return due.plus(HOPELESS_OFFSET).toEpochMilli();
    }
    return (begun ? due : due.plus(NOT_BEGUN_OFFSET)).toEpochMilli();
  }
}

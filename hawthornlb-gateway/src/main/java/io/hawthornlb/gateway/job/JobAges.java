package io.hawthornlb.gateway.job;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Measures for how long this process has known each job.
 *
 * <p>The clock of the instance that accepted a job may be minutes off. If the holder compared its
 * own clock with that time, it would give up items or delete results too early by the difference.
 * Therefore the age of a job is the time for which this process has known it, by its steady clock.
 * After a takeover this age is too low, which only keeps jobs longer.
 */
final class JobAges {

  private final InstantSource clock;
  private final Map<String, Instant> known = new HashMap<>();

  JobAges(InstantSource clock) {
    this.clock = clock;
  }

  /**
   * Adds new jobs and removes all jobs that no longer exist.
   *
   * @param jobs all jobs that exist
   */
  void update(Collection<Job> jobs) {
    Set<String> present = jobs.stream().map(Job::id).collect(Collectors.toSet());
    known.keySet().retainAll(present);
    Instant now = clock.instant();
    present.forEach(id -> known.putIfAbsent(id, now));
  }

  /** Returns whether this process has known a job for longer than a given time. */
  boolean olderThan(Job job, Duration age) {
    Instant since = known.get(job.id());
    return since != null && clock.instant().isAfter(since.plus(age));
  }
}

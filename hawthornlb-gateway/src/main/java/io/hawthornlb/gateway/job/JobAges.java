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
 * For how long this process has known jobs.
 *
 * <p>Failure: the clock of the instance that took a job is minutes off, and the holder gives its
 * items up, or drops their results, by the difference. Guard: a job is as old as this process has
 * known it, by its steady clock; after a take-over that is too young, which only keeps jobs longer.
 */
final class JobAges {

  private final InstantSource clock;
  private final Map<String, Instant> known = new HashMap<>();

  JobAges(InstantSource clock) {
    this.clock = clock;
  }

  /** Notes the jobs that there are, and forgets all others. */
  void note(Collection<Job> jobs) {
    Set<String> present = jobs.stream().map(Job::id).collect(Collectors.toSet());
    known.keySet().retainAll(present);
    Instant now = clock.instant();
    present.forEach(id -> known.putIfAbsent(id, now));
  }

  /** Returns whether a job was known for longer than a time. */
  boolean olderThan(Job job, Duration age) {
    Instant since = known.get(job.id());
    return since != null && clock.instant().isAfter(since.plus(age));
  }
}

package io.hawthornlb.core.crash.support;

import io.hawthornlb.core.crash.ProbeSchedule;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Schedule of items, which are owed: the probes become rarer up to a limit, and never end. */
public final class EndlessProbes implements ProbeSchedule {

  /** Schedule for parts that are suspected because of requests whose callers wait. */
  public static final ProbeSchedule SUSPECTED_BY_REQUESTS = ofSeconds(3, 6, 30);

  /**
   * Schedule for parts that are suspected because of items alone. An open item must be at an
   * endpoint again within five seconds of calm.
   */
  public static final ProbeSchedule SUSPECTED_BY_ITEMS = ofSeconds(1, 2, 3);

  private final List<Duration> pauses;

  /** Creates a schedule whose last pause is repeated. */
  EndlessProbes(List<Duration> pauses) {
    this.pauses = List.copyOf(pauses);
  }

  private static ProbeSchedule ofSeconds(long first, long second, long others) {
    return new EndlessProbes(
        List.of(Duration.ofSeconds(first), Duration.ofSeconds(second), Duration.ofSeconds(others)));
  }

  @Override
  public Optional<Duration> pause(int crashes, int probes) {
    return Optional.of(pauses.get(Math.min(probes, pauses.size() - 1)));
  }
}

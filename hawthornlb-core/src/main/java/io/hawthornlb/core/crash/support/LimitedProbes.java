package io.hawthornlb.core.crash.support;

import io.hawthornlb.core.crash.ProbeSchedule;
import java.time.Duration;
import java.util.Optional;

/** Schedule of requests whose callers wait: three probes, each much later than the one before. */
public final class LimitedProbes implements ProbeSchedule {

  /** Number of crashes from which on it is unlikely that a part is blamed for those of others. */
  private static final int CERTAIN_CRASHES = 5;

  /** Time after the last crash until the first probe of a part that is not certain. */
  static final Duration EARLY_PROBE = Duration.ofSeconds(3);

  /** Time after the last crash until the first probe of a part that is certain. */
  static final Duration FIRST_PROBE = Duration.ofSeconds(30);

  /** Time until the second probe; the third one takes six times as long. */
  static final Duration LATER_PROBE = Duration.ofMinutes(10);

  private static final int PROBE_FACTOR = 6;

  /** Maximum number of probes, each of which may crash an endpoint. */
  static final int MAX_PROBES = 3;

  @Override
  public Optional<Duration> pause(int crashes, int probes) {
    if (probes >= MAX_PROBES) {
      return Optional.empty();
    }
    if (probes == 0) {
      return Optional.of(crashes < CERTAIN_CRASHES ? EARLY_PROBE : FIRST_PROBE);
    }
    return Optional.of(LATER_PROBE.multipliedBy((long) Math.pow(PROBE_FACTOR, probes - 1.0)));
  }
}

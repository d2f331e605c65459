package io.hawthornlb.core.crash;

import java.time.Duration;
import java.util.Optional;

/**
 * How often requests with a blocked part are let through to find out whether it still crashes
 * endpoints.
 */
@FunctionalInterface
public interface ProbeSchedule {

  /**
   * Returns the time from the last crash or probe to the next probe; empty if there is none.
   *
   * @param crashes number of crashes that speak against the part
   * @param probes number of probes so far
   */
  Optional<Duration> pause(int crashes, int probes);
}

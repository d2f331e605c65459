package io.hawthornlb.core.suspect;

import java.time.Duration;

/**
 * Limits of a {@link SuspectTable}.
 *
 * @param capacity the maximum number of fingerprints in the table
 * @param retention how long a fingerprint is kept after its last crash
 * @param maxCrashesAlone the number of crashes while it ran alone after which a request is refused
 * @param maxCrashes the number of crashes in total after which a request is refused
 * @param maxQuarantine the maximum time for which an endpoint is reserved for one suspect
 * @param resendAfter the delay after which a notice is sent a second time
 */
public record SuspectSettings(
    int capacity,
    Duration retention,
    int maxCrashesAlone,
    int maxCrashes,
    Duration maxQuarantine,
    Duration resendAfter) {

  /** The default values. */
  public static final SuspectSettings DEFAULT =
      new SuspectSettings(
          10_000, Duration.ofHours(1), 1, 4, Duration.ofMinutes(2), Duration.ofMillis(250));
}

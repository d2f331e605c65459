package io.hawthornlb.core.suspect;

import java.time.Duration;

/**
 * Bounds of a table of suspects.
 *
 * @param capacity fingerprints that are remembered
 * @param memory how long a fingerprint is remembered after its last crash
 * @param crashesAlone crashes while it ran alone that make an answer final
 * @param crashesInAll crashes in company that do so
 * @param aloneAtMost how long an endpoint is kept for one suspect
 * @param resendAfter pauses after which a notice is sent again
 */
public record SuspectSettings(
    int capacity,
    Duration memory,
    int crashesAlone,
    int crashesInAll,
    Duration aloneAtMost,
    Duration resendAfter) {

  /** The values in use unless the settings of an instance say otherwise. */
  public static final SuspectSettings DEFAULT =
      new SuspectSettings(
          10_000, Duration.ofHours(1), 1, 4, Duration.ofMinutes(2), Duration.ofMillis(250));
}

package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.log.support.SnapshotPolicy;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * Intervals, timeouts and limits of a {@link DefaultClaimManager}.
 *
 * @param renewalInterval the shortest time between two renewals of an instance
 * @param fleetRenewals the largest number of renewals a second of the whole fleet; in a larger
 *     fleet the interval grows, so that the rate does not exceed this number
 * @param silentAfter the number of renewal intervals without a record of another instance after
 *     which that instance counts as silent
 * @param unlistedSilentAfter the same number for an instance that the platform does not list
 * @param shortestHold how long an instance holds a partition at least before it hands the partition
 *     over for placement
 * @param appendTimeout after what time a record that has not appeared in the stream is written
 *     again
 * @param snapshots when a snapshot of the claims is due
 */
public record ClaimSettings(
    Duration renewalInterval,
    double fleetRenewals,
    int silentAfter,
    int unlistedSilentAfter,
    Duration shortestHold,
    Duration appendTimeout,
    SnapshotPolicy snapshots) {

  /**
   * Renewal interval 1 s, 50 renewals a second in the fleet, silent after 4 intervals, unlisted
   * instances silent after 2 intervals, shortest hold 3 s, append timeout 30 s.
   */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(
          Duration.ofSeconds(1),
          50,
          4,
          2,
          Duration.ofSeconds(3),
          Duration.ofSeconds(30),
          SnapshotPolicy.DEFAULT);

  /** Checks that every value is positive. */
  public ClaimSettings {
    Checks.isTrue(renewalInterval.toMillis() > 0, "renewal interval must be at least 1 ms");
    Checks.isTrue(fleetRenewals > 0, "fleet renewals must be positive");
    Checks.isTrue(unlistedSilentAfter > 0, "unlisted silent after must be positive");
    Checks.isTrue(
        silentAfter >= unlistedSilentAfter, "silent after must not be below unlisted silent after");
    Checks.isTrue(!shortestHold.isNegative(), "shortest hold must not be negative");
    Checks.isTrue(appendTimeout.toMillis() > 0, "append timeout must be at least 1 ms");
  }

  /**
   * Returns the defaults with another renewal interval and another time after which a holder counts
   * as silent.
   */
  public static ClaimSettings of(Duration renewal, Duration silence) {
    Checks.isTrue(
        silence.compareTo(renewal) >= 0, "silence must not be shorter than the renewal interval");
    int intervals = (int) Math.ceil(silence.toMillis() / (double) renewal.toMillis());
    return new ClaimSettings(
        renewal,
        DEFAULT.fleetRenewals,
        intervals,
        Math.min(intervals, DEFAULT.unlistedSilentAfter),
        DEFAULT.shortestHold,
        DEFAULT.appendTimeout,
        DEFAULT.snapshots);
  }

  /** Returns the renewal interval of each instance in a fleet of a given size. */
  public Duration interval(int instances) {
    Duration fair = Duration.ofMillis((long) (instances / fleetRenewals * 1_000));
    return fair.compareTo(renewalInterval) > 0 ? fair : renewalInterval;
  }
}

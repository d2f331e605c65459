package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.log.support.SnapshotPolicy;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * Times of a {@link DefaultClaimManager}.
 *
 * @param renewalInterval the shortest time between two renewals of an instance
 * @param fleetRenewals renewals a second of the whole fleet, above which the interval grows
 * @param silentAfter intervals without a record of another instance that make it silent
 * @param unlistedSilentAfter the same for an instance that the platform does not list
 * @param shortestHold how long a partition is held before it is handed over to move it
 * @param appendTimeout after how long a record that was not seen is written anew
 * @param snapshots when the claims are written again
 */
public record ClaimSettings(
    Duration renewalInterval,
    double fleetRenewals,
    int silentAfter,
    int unlistedSilentAfter,
    Duration shortestHold,
    Duration appendTimeout,
    SnapshotPolicy snapshots) {

  /** One second, 50 renewals a second, silent after 4, unlisted after 2, 3 s hold, 30 s. */
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
    Checks.isTrue(silentAfter >= unlistedSilentAfter, "silent after must not be the smaller");
    Checks.isTrue(!shortestHold.isNegative(), "shortest hold must not be negative");
    Checks.isTrue(appendTimeout.toMillis() > 0, "append timeout must be at least 1 ms");
  }

  /** Returns the defaults with another renewal interval and time until a holder is silent. */
  public static ClaimSettings of(Duration renewal, Duration silence) {
    Checks.isTrue(silence.compareTo(renewal) >= 0, "silence must not be the shorter");
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

  /** Returns the renewal interval of a fleet. */
  public Duration interval(int instances) {
    Duration fair = Duration.ofMillis((long) (instances / fleetRenewals * 1_000));
    return fair.compareTo(renewalInterval) > 0 ? fair : renewalInterval;
  }
}

package io.hawthornlb.app.settings;

import java.time.Duration;

/**
 * Settings for claiming partitions; they must be the same on every instance.
 *
 * @param partitions the fixed number of partitions
 * @param renew the interval at which a holder renews its claims
 * @param silence the time without a renewal after which other instances try to supersede a claim
 */
public record ClaimSettings(int partitions, Duration renew, Duration silence) {

  /** Default values. */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(64, Duration.ofSeconds(2), Duration.ofSeconds(6));
}

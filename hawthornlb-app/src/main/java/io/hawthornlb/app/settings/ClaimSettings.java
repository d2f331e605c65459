package io.hawthornlb.app.settings;

import java.time.Duration;

/**
 * How partitions are claimed; the same on every instance.
 *
 * @param partitions the fixed number of partitions
 * @param renew how often a holder renews its claims
 * @param silence how long a claim stays without renewal before others try to supersede it
 */
public record ClaimSettings(int partitions, Duration renew, Duration silence) {

  /** The values unless the settings say otherwise. */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(64, Duration.ofSeconds(2), Duration.ofSeconds(6));
}

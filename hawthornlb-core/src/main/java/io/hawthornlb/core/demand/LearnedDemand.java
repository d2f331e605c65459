package io.hawthornlb.core.demand;

import java.time.Duration;

/**
 * Load cycle of a service as learned from the arrivals of its online requests.
 *
 * @param troughSlots slots that online requests use in a trough
 * @param peakSlots slots that online requests use at a peak
 * @param troughLength usual length of a trough
 * @param peakLength usual length of a peak
 */
public record LearnedDemand(
    double troughSlots, double peakSlots, Duration troughLength, Duration peakLength) {

  /** Returns whether the values can belong to a load cycle, so that they may be restored. */
  public boolean plausible() {
    return troughSlots >= 0
        && peakSlots > troughSlots
        && Double.isFinite(peakSlots)
        && troughLength.compareTo(Duration.ZERO) > 0
        && peakLength.compareTo(Duration.ZERO) > 0;
  }
}

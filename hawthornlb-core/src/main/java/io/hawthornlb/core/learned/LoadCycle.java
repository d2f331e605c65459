package io.hawthornlb.core.learned;

import java.time.Duration;

/**
 * Cycle of the demand of online requests.
 *
 * @param troughSlots slots that online requests use in a trough
 * @param peakSlots slots that online requests use at a peak
 * @param troughLength usual length of a trough
 * @param peakLength usual length of a peak
 */
public record LoadCycle(
    double troughSlots, double peakSlots, Duration troughLength, Duration peakLength) {}

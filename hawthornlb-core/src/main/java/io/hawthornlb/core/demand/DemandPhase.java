package io.hawthornlb.core.demand;

import java.time.Duration;
import java.time.Instant;

/**
 * Present phase of a recognized load cycle.
 *
 * @param peak whether this is a peak (true) or a trough (false)
 * @param slots slots that online requests usually use in this phase
 * @param since start of the phase
 * @param usualLength usual length of the phase
 */
public record DemandPhase(boolean peak, double slots, Instant since, Duration usualLength) {}

package io.hawthornlb.core.job;

import io.hawthornlb.core.model.Epoch;

/**
 * Says that a claim of this instance has been superseded or released.
 *
 * @param epoch the epoch of the claim that ended
 */
public record JobClaimLost(Epoch epoch) implements JobEvent {}

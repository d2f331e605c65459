package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;

/**
 * Tells the coordinator that a dispatcher has left or is considered lost.
 *
 * @param dispatcher the dispatcher
 */
public record DispatcherLost(InstanceId dispatcher) implements JobEvent {}

package io.hawthornlb.core.job;

import io.hawthornlb.core.model.InstanceId;

/**
 * Says that a steward has left or is taken for lost.
 *
 * @param steward the steward
 */
public record DispatcherLost(InstanceId steward) implements JobEvent {}

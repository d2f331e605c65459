package io.hawthornlb.core.runonce;

/** Event that a {@link RunOnceCoordinator} handles. */
public interface RunOnceEvent {}

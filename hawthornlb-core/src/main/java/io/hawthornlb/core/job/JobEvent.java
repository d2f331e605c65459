package io.hawthornlb.core.job;

/** Marks an event that a {@link JobCoordinator} processes. */
public interface JobEvent {}

package io.hawthornlb.core.runonce;

/**
 * Event: a record requested by {@link ReadOutcome} has been read.
 *
 * @param offset the offset of the record
 * @param entries the record
 */
public record OutcomeRead(long offset, EntriesRecorded entries) implements RunOnceEvent {}

package io.hawthornlb.core.runonce;

/**
 * Hands over a record that was asked for by {@link ReadOutcome}.
 *
 * @param offset its offset
 * @param entries the record
 */
public record OutcomeRead(long offset, EntriesRecorded entries) implements RunOnceEvent {}

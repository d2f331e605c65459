package io.hawthornlb.core.runonce;

/**
 * Event: a record requested by {@link ReadOutcome} cannot be read at present.
 *
 * @param offset the offset of the record
 */
public record OutcomeUnreadable(long offset) implements RunOnceEvent {}

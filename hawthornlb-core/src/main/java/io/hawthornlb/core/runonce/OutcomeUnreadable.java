package io.hawthornlb.core.runonce;

/**
 * Says that a record can't be read now.
 *
 * @param offset its offset
 */
public record OutcomeUnreadable(long offset) implements RunOnceEvent {}

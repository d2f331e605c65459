package io.hawthornlb.core.job;

/**
 * Counts the failed attempts of an item that is tried again.
 *
 * @param index the item
 * @param attempts attempts that have failed so far
 */
public record ItemAttempts(int index, int attempts) {}

package io.hawthornlb.core.job;

/**
 * Number of failed attempts of an item that will be retried.
 *
 * @param index the index of the item in its job
 * @param attempts the number of attempts that have failed so far
 */
public record ItemAttempts(int index, int attempts) {}

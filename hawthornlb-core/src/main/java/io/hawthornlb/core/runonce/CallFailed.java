package io.hawthornlb.core.runonce;

/**
 * The call ended without a whole answer after an endpoint may have had a byte of it.
 *
 * @param key the key of the request
 * @param attempt the attempt
 * @param cause how it ended
 */
public record CallFailed(RunOnceKey key, AttemptId attempt, String cause) implements RunOnceEvent {}

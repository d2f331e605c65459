package io.hawthornlb.core.runonce;

/**
 * Event: a call ended without a complete response after an endpoint may have received a byte of it.
 *
 * @param key the key of the request
 * @param attempt the attempt that made the call
 * @param cause why the call failed
 */
public record CallFailed(RunOnceKey key, AttemptId attempt, String cause) implements RunOnceEvent {}

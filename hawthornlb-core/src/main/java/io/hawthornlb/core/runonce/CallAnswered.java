package io.hawthornlb.core.runonce;

/**
 * Event: an endpoint returned a complete response to a call.
 *
 * @param key the key of the request
 * @param attempt the attempt that made the call
 * @param result the response
 */
public record CallAnswered(RunOnceKey key, AttemptId attempt, ServiceResult result)
    implements RunOnceEvent {}

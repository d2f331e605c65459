package io.hawthornlb.core.runonce;

/**
 * The endpoint gave a whole answer.
 *
 * @param key the key of the request
 * @param attempt the attempt
 * @param result the answer
 */
public record CallAnswered(RunOnceKey key, AttemptId attempt, ServiceResult result)
    implements RunOnceEvent {}

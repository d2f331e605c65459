package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.RefusalReason;

/**
 * No endpoint has had a byte of the call, and none will.
 *
 * @param key the key of the request
 * @param attempt the attempt
 * @param reason why
 */
public record CallNotStarted(RunOnceKey key, AttemptId attempt, RefusalReason reason)
    implements RunOnceEvent {}

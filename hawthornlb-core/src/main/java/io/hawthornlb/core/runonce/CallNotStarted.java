package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.RefusalReason;

/**
 * Event: no endpoint has received a byte of the call, and none will.
 *
 * @param key the key of the request
 * @param attempt the attempt that made the call
 * @param reason why no endpoint received it
 */
public record CallNotStarted(RunOnceKey key, AttemptId attempt, RefusalReason reason)
    implements RunOnceEvent {}

package io.hawthornlb.core.runonce;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.PartitionId;

/**
 * Effect that makes a call whose intent is durable. The call runs at most once.
 *
 * <p>The adapter reports exactly one of {@link CallAnswered}, {@link CallNotStarted} and {@link
 * CallFailed}. It may try several endpoints as long as none of them has received a byte of the
 * call.
 *
 * @param partition the partition that is responsible for the request
 * @param attempt identifies the attempt
 * @param request the request
 */
public record RunCall(PartitionId partition, AttemptId attempt, RunOnceRequest request)
    implements Effect {}

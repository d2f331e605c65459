package io.hawthornlb.core.runonce;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.PartitionId;

/**
 * Asks for a call to be made once, whose intent is durable.
 *
 * <p>Answered by exactly one of {@link CallAnswered}, {@link CallNotStarted} and {@link
 * CallFailed}. The adapter may try several endpoints as long as none has had a byte of it.
 *
 * @param partition the partition that decides for it
 * @param attempt names the attempt
 * @param request the request
 */
public record RunCall(PartitionId partition, AttemptId attempt, RunOnceRequest request)
    implements Effect {}

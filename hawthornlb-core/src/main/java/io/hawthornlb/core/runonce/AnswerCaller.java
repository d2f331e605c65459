package io.hawthornlb.core.runonce;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.RequestId;

/**
 * Effect that delivers the final answer of a request to its caller.
 *
 * @param id identifies the request
 * @param answer the answer to deliver
 */
public record AnswerCaller(RequestId id, RunOnceAnswer answer) implements Effect {}

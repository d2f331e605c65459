package io.hawthornlb.core.runonce;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.RequestId;

/**
 * Asks for the final answer to be given to a caller.
 *
 * @param id the request
 * @param answer the answer
 */
public record AnswerCaller(RequestId id, RunOnceAnswer answer) implements Effect {}

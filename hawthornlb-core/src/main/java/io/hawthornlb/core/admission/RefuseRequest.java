package io.hawthornlb.core.admission;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RequestId;

/**
 * Asks for a queued request to be answered with a refusal now.
 *
 * @param id the request
 * @param refusal the answer
 */
public record RefuseRequest(RequestId id, Refusal refusal) implements Effect {}

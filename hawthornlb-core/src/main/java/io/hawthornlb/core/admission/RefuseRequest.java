package io.hawthornlb.core.admission;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RequestId;

/**
 * Effect that refuses a queued request now.
 *
 * @param id id of the request
 * @param refusal the refusal to send to the caller
 */
public record RefuseRequest(RequestId id, Refusal refusal) implements Effect {}

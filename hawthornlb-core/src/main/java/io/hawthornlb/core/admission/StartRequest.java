package io.hawthornlb.core.admission;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.RequestId;

/**
 * Effect that starts a queued request now.
 *
 * @param id id of the request
 */
public record StartRequest(RequestId id) implements Effect {}

package io.hawthornlb.core.admission;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.RequestId;

/**
 * Asks for a queued request to be started now.
 *
 * @param id the request
 */
public record StartRequest(RequestId id) implements Effect {}

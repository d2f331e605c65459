package io.hawthornlb.core.batch;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;

/**
 * Asks for a running item to be cancelled at once; the endpoint keeps what was generated.
 *
 * @param endpoint the endpoint
 * @param item the item
 */
public record CancelItem(EndpointId endpoint, ItemRef item) implements Effect {}

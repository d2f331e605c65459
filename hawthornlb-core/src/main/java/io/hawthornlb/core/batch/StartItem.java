package io.hawthornlb.core.batch;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;

/**
 * Asks for an item to be sent to an endpoint, resumed after what it has generated.
 *
 * @param endpoint the endpoint
 * @param item the item
 */
public record StartItem(EndpointId endpoint, BatchItem item) implements Effect {}

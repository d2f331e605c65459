package io.hawthornlb.core.batch;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;
import java.util.Optional;

/**
 * Asks for an item to be sent to an endpoint, resumed after what it has generated.
 *
 * @param endpoint the endpoint
 * @param item the item
 * @param moveFrom the endpoint whose KV cache of the item is to be moved first, if that pays
 */
public record StartItem(EndpointId endpoint, BatchItem item, Optional<EndpointId> moveFrom)
    implements Effect {}

package io.hawthornlb.core.batch;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;
import java.util.Optional;

/**
 * Effect that sends an item to an endpoint, where the item resumes after the tokens generated so
 * far.
 *
 * @param endpoint endpoint that executes the item
 * @param item item to execute
 * @param moveFrom endpoint from which the item's KV cache is moved first; empty if moving it costs
 *     more than computing it again
 */
public record StartItem(EndpointId endpoint, BatchItem item, Optional<EndpointId> moveFrom)
    implements Effect {}

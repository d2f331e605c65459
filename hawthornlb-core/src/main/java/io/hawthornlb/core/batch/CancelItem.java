package io.hawthornlb.core.batch;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;

/**
 * Effect that cancels a running item at once; the tokens generated so far are kept.
 *
 * @param endpoint endpoint that runs the item
 * @param item item to cancel
 */
public record CancelItem(EndpointId endpoint, ItemRef item) implements Effect {}

package io.hawthornlb.core.batch;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;
import java.util.List;

/**
 * Effect that returns items, which were not started or were preempted, to their coordinators.
 *
 * @param endpoint endpoint that may still hold the KV cache of the preempted items
 * @param items the items, with the number of tokens that each has generated
 */
public record ReturnItems(EndpointId endpoint, List<BatchItem> items) implements Effect {

  /** Copies the list of items. */
  public ReturnItems {
    items = List.copyOf(items);
  }
}

package io.hawthornlb.core.batch;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.EndpointId;
import java.util.List;

/**
 * Gives items that were not started, or that were preempted, back to their coordinators.
 *
 * @param endpoint the endpoint, which may still hold KV cache of preempted ones
 * @param items the items with what they have generated
 */
public record ReturnItems(EndpointId endpoint, List<BatchItem> items) implements Effect {

  /** Copies the items. */
  public ReturnItems {
    items = List.copyOf(items);
  }
}

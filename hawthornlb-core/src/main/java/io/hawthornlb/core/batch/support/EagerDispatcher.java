package io.hawthornlb.core.batch.support;

import io.hawthornlb.core.batch.BatchDispatcher;
import io.hawthornlb.core.batch.BatchItem;
import io.hawthornlb.core.batch.BatchOutcome;
import io.hawthornlb.core.batch.ItemRef;
import io.hawthornlb.core.batch.PullItems;
import io.hawthornlb.core.batch.ReturnItems;
import io.hawthornlb.core.batch.StartItem;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Simple dispatcher that keeps every slot of its endpoint filled, in order of arrival, and never
 * preempts an item.
 *
 * <p>It is the reference implementation in differential tests and the baseline of measurements.
 */
public final class EagerDispatcher implements BatchDispatcher {

  private final EndpointId endpoint;
  private final ServiceName service;
  private final int slots;
  private final Deque<BatchItem> queue = new ArrayDeque<>();
  private final Set<ItemRef> running = new HashSet<>();

  /** Creates the dispatcher of an endpoint with the given number of slots. */
  public EagerDispatcher(EndpointId endpoint, ServiceName service, int slots) {
    this.endpoint = endpoint;
    this.service = service;
    this.slots = slots;
  }

  @Override
  public List<Effect> onItems(List<BatchItem> items, Instant now) {
    queue.addAll(items);
    return fill();
  }

  @Override
  public List<Effect> onOnline(InstanceId entry, int inFlight, Instant now) {
    return List.of();
  }

  @Override
  public List<Effect> onProgress(ItemRef item, int generated, Instant now) {
    return List.of();
  }

  @Override
  public List<Effect> onEnded(ItemRef item, BatchOutcome outcome, int generated, Instant now) {
    running.remove(item);
    return fill();
  }

  @Override
  public List<Effect> onLoad(LoadReport report, Instant now) {
    return List.of();
  }

  @Override
  public List<Effect> onTick(Instant now) {
    return fill();
  }

  @Override
  public List<Effect> onStop(Instant now) {
    List<BatchItem> waiting = List.copyOf(queue);
    queue.clear();
    return List.of(new ReturnItems(endpoint, waiting));
  }

  private List<Effect> fill() {
    List<Effect> effects = new ArrayList<>();
    while (running.size() < slots && !queue.isEmpty()) {
      BatchItem item = queue.poll();
      running.add(item.ref());
      effects.add(new StartItem(endpoint, item, Optional.empty()));
    }
    if (queue.isEmpty()) {
      effects.add(new PullItems(endpoint, service, slots));
    }
    return effects;
  }

  @Override
  public int batchAt(Instant time) {
    return running.size();
  }
}

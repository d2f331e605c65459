package io.hawthornlb.core.batch.support;

import io.hawthornlb.core.batch.BatchItem;
import io.hawthornlb.core.batch.ItemRef;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The items that run at an endpoint, with their progress. */
final class RunningItems {

  private static final class Running {

    private final BatchItem item;
    private int generated;
    private boolean decoding;
    private boolean cancelled;

    private Running(BatchItem item) {
      this.item = item;
      this.generated = item.generated();
    }

    /**
     * Returns the number of tokens that must be computed again if the item is cancelled and its KV
     * cache is lost.
     */
    private int lostTokens() {
      return decoding ? item.promptTokens() + generated : 0;
    }
  }

  private final Map<ItemRef, Running> items = new LinkedHashMap<>();
  private int cancelled;

  void add(BatchItem item) {
    items.put(item.ref(), new Running(item));
  }

  void progress(ItemRef ref, int generated) {
    Running running = items.get(ref);
    if (running != null) {
      running.generated = Math.max(running.generated, generated);
      running.decoding = true;
    }
  }

  /**
   * Removes an item and returns it as it was when started; returns null if the item does not run.
   */
  @Nullable BatchItem remove(ItemRef ref) {
    Running running = items.remove(ref);
    if (running == null) {
      return null;
    }
    cancelled -= running.cancelled ? 1 : 0;
    return running.item;
  }

  /** Marks the item whose cancellation loses the fewest tokens as cancelled, and returns it. */
  Optional<ItemRef> cancelCheapest() {
    Optional<Running> cheapest =
        items.values().stream()
            .filter(running -> !running.cancelled)
            .min(Comparator.comparingInt(Running::lostTokens));
    cheapest.ifPresent(
        running -> {
          running.cancelled = true;
          cancelled++;
        });
    return cheapest.map(running -> running.item.ref());
  }

  /** Returns the number of items at the endpoint, including cancelled ones. */
  int size() {
    return items.size();
  }

  /** Returns the number of items that have not been cancelled. */
  int active() {
    return items.size() - cancelled;
  }

  /** Returns the number of items that have not produced a token yet. */
  int prefilling() {
    int count = 0;
    for (Running running : items.values()) {
      count += running.decoding ? 0 : 1;
    }
    return count;
  }
}

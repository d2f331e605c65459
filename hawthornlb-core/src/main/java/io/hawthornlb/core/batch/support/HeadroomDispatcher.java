package io.hawthornlb.core.batch.support;

import io.hawthornlb.core.batch.BatchDispatcher;
import io.hawthornlb.core.batch.BatchItem;
import io.hawthornlb.core.batch.BatchOutcome;
import io.hawthornlb.core.batch.CancelItem;
import io.hawthornlb.core.batch.DispatcherSettings;
import io.hawthornlb.core.batch.ItemRef;
import io.hawthornlb.core.batch.PullItems;
import io.hawthornlb.core.batch.ReturnItems;
import io.hawthornlb.core.batch.StartItem;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.CountHistory;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Dispatcher that fills the slots that online requests leave free, and cancels batch items while it
 * handles the same event that announces an online request.
 */
public final class HeadroomDispatcher implements BatchDispatcher {

  private static final Duration PULL_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration EMPTY_PULL_DELAY = Duration.ofMillis(200);
  private static final double FULL_CACHE_FRACTION = 0.95;
  private static final double SMOOTHING = 0.1;
  private static final double FIRST_ITEM_MILLIS = 1_000;

  private final EndpointId endpoint;
  private final ServiceName service;
  private final DispatcherSettings settings;
  private final ItemQueue queue = new ItemQueue();
  private final RunningItems running = new RunningItems();
  private final OnlineCount online = new OnlineCount();
  private final CountHistory batchHistory = new CountHistory();
  private final CountHistory onlineHistory = new CountHistory();
  private int slots;
  private boolean cacheFull;
  private boolean stopped;
  private Instant nextPull = Instant.MIN;
  private Instant lastDone = Instant.MIN;
  private double millisPerDone = FIRST_ITEM_MILLIS;

  /** Creates the dispatcher of an endpoint. */
  public HeadroomDispatcher(EndpointId endpoint, ServiceName service, DispatcherSettings settings) {
    this.endpoint = endpoint;
    this.service = service;
    this.settings = settings;
    this.slots = settings.slots();
  }

  @Override
  public List<Effect> onItems(List<BatchItem> items, Instant now) {
    if (stopped) {
      return items.isEmpty() ? List.of() : List.of(new ReturnItems(endpoint, items));
    }
    items.forEach(item -> queue.add(item, now));
    nextPull = items.isEmpty() ? now.plus(EMPTY_PULL_DELAY) : now;
    return adjust(now);
  }

  @Override
  public List<Effect> onOnline(InstanceId entry, int inFlight, Instant now) {
    int before = online.reported();
    online.set(entry, inFlight);
    onlineHistory.add(online.reported() - before, now);
    return adjust(now);
  }

  @Override
  public List<Effect> onProgress(ItemRef item, int generated, Instant now) {
    running.progress(item, generated);
    return adjust(now);
  }

  @Override
  public List<Effect> onEnded(ItemRef ref, BatchOutcome outcome, int generated, Instant now) {
    BatchItem item = running.remove(ref);
    if (item == null) {
      return List.of();
    }
    batchHistory.add(-1, now);
    List<Effect> effects = new ArrayList<>();
    if (outcome == BatchOutcome.DONE) {
      countDone(now);
    } else if (outcome == BatchOutcome.PREEMPTED) {
      BatchItem kept = item.preempted(Math.max(generated, item.generated()), endpoint);
      if (stopped) {
        effects.add(new ReturnItems(endpoint, List.of(kept)));
      } else {
        queue.add(kept, now);
      }
    }
    effects.addAll(adjust(now));
    return effects;
  }

  @Override
  public List<Effect> onLoad(LoadReport report, Instant now) {
    slots = report.slots();
    cacheFull =
        report.kvTotalTokens() > 0
            && report.kvUsedTokens() > FULL_CACHE_FRACTION * report.kvTotalTokens();
    // The notices of an entry instance can be lost, and an entry instance may not know this
    // dispatcher; its requests still take slots, and the load report includes them. Without this
    // correction, batch items would fill these slots again.
    int batch = batchHistory.at(report.asOf());
    int unreported = report.withBatch(batch).online() - onlineHistory.at(report.asOf());
    online.setUnreported(unreported);
    return adjust(now);
  }

  @Override
  public List<Effect> onTick(Instant now) {
    List<Effect> effects = new ArrayList<>();
    List<BatchItem> overdue = queue.removePreemptedBefore(now.minus(settings.returnAfter()));
    if (!overdue.isEmpty()) {
      effects.add(new ReturnItems(endpoint, overdue));
    }
    effects.addAll(adjust(now));
    return effects;
  }

  @Override
  public List<Effect> onStop(Instant now) {
    stopped = true;
    List<Effect> effects = new ArrayList<>();
    cancel(running.active(), effects);
    List<BatchItem> waiting = queue.removeAll();
    if (!waiting.isEmpty()) {
      effects.add(new ReturnItems(endpoint, waiting));
    }
    return effects;
  }

  @Override
  public int batchAt(Instant time) {
    return batchHistory.at(time);
  }

  private List<Effect> adjust(Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (stopped) {
      return effects;
    }
    int freeSlots = slotsForItems();
    // An online request that finds no free slot waits inside the endpoint until a batch item ends,
    // which takes seconds. Cancelling an item while handling this event frees a slot within
    // milliseconds.
    cancel(running.active() - freeSlots, effects);
    start(freeSlots, effects, now);
    pull(effects, now);
    return effects;
  }

  private int slotsForItems() {
    if (online.total() == 0) {
      return slots;
    }
    // Each batch item lengthens the steps of the engine, also for the online requests in the same
    // steps.
    int filled = (int) Math.round(slots * settings.fillBesideOnline());
    return Math.max(0, filled - online.total());
  }

  private void cancel(int count, List<Effect> effects) {
    for (int i = 0; i < count; i++) {
      running.cancelCheapest().ifPresent(ref -> effects.add(new CancelItem(endpoint, ref)));
    }
  }

  private void start(int freeSlots, List<Effect> effects, Instant now) {
    // Starting many prompts at once would delay the next tokens of the online requests at the
    // endpoint.
    int prefills = online.total() > 0 ? settings.prefillsBesideOnline() : slots;
    Duration perItem = Duration.ofMillis((long) millisPerDone);
    while (!cacheFull && running.size() < freeSlots && running.prefilling() < prefills) {
      BatchItem item = queue.poll(perItem, now);
      if (item == null) {
        return;
      }
      running.add(item);
      batchHistory.add(1, now);
      effects.add(new StartItem(endpoint, item, moveFrom(item)));
    }
  }

  private Optional<EndpointId> moveFrom(BatchItem item) {
    return item.keptAt()
        .filter(kept -> !kept.equals(endpoint) && settings.movingIsCheaper(item.contextTokens()));
  }

  private void pull(List<Effect> effects, Instant now) {
    int wanted = (int) Math.ceil(slots * settings.ahead()) - queue.size();
    boolean enoughWanted = wanted * 2 >= slots * settings.ahead();
    if (enoughWanted && !now.isBefore(nextPull)) {
      nextPull = now.plus(PULL_TIMEOUT);
      effects.add(new PullItems(endpoint, service, wanted));
    }
  }

  private void countDone(Instant now) {
    if (lastDone != Instant.MIN) {
      double millis = Duration.between(lastDone, now).toMillis();
      millisPerDone += SMOOTHING * (millis - millisPerDone);
    }
    lastDone = now;
  }
}

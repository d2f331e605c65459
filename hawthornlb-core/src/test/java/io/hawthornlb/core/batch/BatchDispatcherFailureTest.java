package io.hawthornlb.core.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.batch.support.EagerDispatcher;
import io.hawthornlb.core.batch.support.HeadroomDispatcher;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class BatchDispatcherFailureTest {

  private static final EndpointId ENGINE = new EndpointId("log-reader-0");
  private static final ServiceName SERVICE = new ServiceName("log-reader");
  private static final InstanceId ENTRY = new InstanceId("entry-0");
  private static final Instant NOW = Instant.EPOCH;
  private static final int SLOTS = 4;

  private final BatchDispatcher eager = new EagerDispatcher(ENGINE, SERVICE, SLOTS);
  private final BatchDispatcher headroom =
      new HeadroomDispatcher(ENGINE, SERVICE, DispatcherSettings.of(1, SLOTS));

  // Guards against an online request that takes seconds to begin: all slots of the engine hold
  // batch items, and the request waits inside the engine until one of them ends.
  @Test
  void anOnlineNoticeFreesASlotAtOnce() {
    fill(eager);
    fill(headroom);
    assertEquals(0, cancels(eager.onOnline(ENTRY, 1, NOW)).size(), "the baseline");
    assertEquals(1, cancels(headroom.onOnline(ENTRY, 1, NOW)).size());
    assertEquals(2, cancels(headroom.onOnline(ENTRY, 3, NOW)).size());
    assertEquals(0, cancels(headroom.onOnline(ENTRY, 3, NOW)).size(), "the same notice twice");
  }

  // Guards against batch work that never finishes on a busy day: if the item that is almost
  // finished is cancelled each time, its work is lost.
  @Test
  void theItemThatLosesTheFewestTokensIsCancelled() {
    fill(headroom);
    for (int i = 0; i < SLOTS; i++) {
      headroom.onProgress(ref(i), i == 2 ? 3 : 100 + i, NOW);
    }
    assertEquals(List.of(ref(2)), cancels(headroom.onOnline(ENTRY, 1, NOW)));
  }

  // Guards against online requests that wait because an entry instance cannot reach the
  // dispatcher: its requests fill slots, and batch items are started in these slots again.
  @Test
  void unreportedRequestsInALoadReportTakeSlots() {
    fill(headroom);
    LoadReport report = new LoadReport(NOW.plusSeconds(1), SLOTS, 2, SLOTS, 0, 0, 0, 0);
    List<Effect> effects = headroom.onLoad(report, NOW.plusSeconds(2));
    assertEquals(2, cancels(effects).size());
  }

  // Guards against a preempted item that waits for its engine for as long as the online requests
  // last, although other engines have free slots.
  @Test
  void aPreemptedItemIsReturnedWhenTheBurstLasts() {
    fill(headroom);
    ItemRef cancelled = cancels(headroom.onOnline(ENTRY, 1, NOW)).get(0);
    headroom.onEnded(cancelled, BatchOutcome.PREEMPTED, 40, NOW);
    List<Effect> effects = headroom.onTick(NOW.plusSeconds(3));
    ReturnItems returned =
        effects.stream()
            .filter(ReturnItems.class::isInstance)
            .map(ReturnItems.class::cast)
            .findFirst()
            .orElseThrow();
    BatchItem item = returned.items().get(0);
    assertEquals(40, item.generated());
    assertEquals(Optional.of(ENGINE), item.keptAt());
  }

  // Guards against a small job with a near due time that waits until a large job, which was
  // accepted first and has thousands of items, has ended.
  @Test
  void anItemThatIsDueSoonGoesBeforeALargeOlderJob() {
    List<BatchItem> items = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      items.add(item("large", i, Duration.ofHours(8)));
    }
    items.add(item("roster", 0, Duration.ofSeconds(1)));
    assertFalse(startedJobs(eager.onItems(items, NOW)).contains("roster"), "the baseline");
    assertTrue(startedJobs(headroom.onItems(items, NOW)).contains("roster"));
  }

  // Guards against items that are started twice or lost in a mix of bursts, preemptions and ends.
  @Property(tries = 200, seed = "20261202")
  void everyItemIsStartedOrReturnedOnce(@ForAll long seed) {
    Random random = new Random(seed);
    BatchDispatcher dispatcher =
        new HeadroomDispatcher(ENGINE, SERVICE, DispatcherSettings.of(0.5, SLOTS));
    Set<ItemRef> running = new HashSet<>();
    Set<ItemRef> outside = new HashSet<>();
    int received = 0;
    int done = 0;
    Instant now = NOW;
    for (int i = 0; i < 300; i++) {
      now = now.plusMillis(random.nextInt(500));
      List<Effect> effects;
      int action = random.nextInt(5);
      if (action == 0) {
        effects = dispatcher.onItems(List.of(item("job-" + i % 3, i, Duration.ofHours(1))), now);
        received++;
      } else if (action == 1) {
        effects = dispatcher.onOnline(ENTRY, random.nextInt(SLOTS + 2), now);
      } else if (action == 2 && !running.isEmpty()) {
        ItemRef ref = running.iterator().next();
        running.remove(ref);
        boolean ended = random.nextBoolean();
        done += ended ? 1 : 0;
        BatchOutcome outcome = ended ? BatchOutcome.DONE : BatchOutcome.PREEMPTED;
        effects = dispatcher.onEnded(ref, outcome, 5, now);
      } else {
        effects = dispatcher.onTick(now);
      }
      apply(effects, running, outside);
      assertTrue(running.size() <= SLOTS, "more items than slots");
    }
    apply(dispatcher.onStop(now), running, outside);
    for (ItemRef ref : List.copyOf(running)) {
      running.remove(ref);
      apply(dispatcher.onEnded(ref, BatchOutcome.PREEMPTED, 5, now), running, outside);
    }
    assertEquals(received, done + outside.size());
  }

  private static void apply(List<Effect> effects, Set<ItemRef> running, Set<ItemRef> outside) {
    for (Effect effect : effects) {
      if (effect instanceof StartItem start) {
        assertTrue(running.add(start.item().ref()), "started twice");
      } else if (effect instanceof ReturnItems returned) {
        returned.items().forEach(item -> assertTrue(outside.add(item.ref()), "returned twice"));
      }
    }
  }

  private static void fill(BatchDispatcher dispatcher) {
    List<BatchItem> items = new ArrayList<>();
    for (int i = 0; i < SLOTS; i++) {
      items.add(item("job", i, Duration.ofHours(1)));
    }
    dispatcher.onItems(items, NOW);
  }

  private static BatchItem item(String job, int index, Duration due) {
    return new BatchItem(
        new ItemRef(new JobId(job), index), NOW, NOW.plus(due), 500, 200, 0, Optional.empty(), 1);
  }

  private static ItemRef ref(int index) {
    return new ItemRef(new JobId("job"), index);
  }

  private static List<ItemRef> cancels(List<Effect> effects) {
    return effects.stream()
        .filter(CancelItem.class::isInstance)
        .map(effect -> ((CancelItem) effect).item())
        .toList();
  }

  private static List<String> startedJobs(List<Effect> effects) {
    return effects.stream()
        .filter(StartItem.class::isInstance)
        .map(effect -> ((StartItem) effect).item().ref().job().value())
        .toList();
  }
}

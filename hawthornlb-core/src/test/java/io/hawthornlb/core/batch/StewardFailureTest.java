package io.hawthornlb.core.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.batch.support.EagerSteward;
import io.hawthornlb.core.batch.support.HeadroomSteward;
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

class StewardFailureTest {

  private static final EndpointId ENGINE = new EndpointId("log-reader-0");
  private static final ServiceName SERVICE = new ServiceName("log-reader");
  private static final InstanceId ENTRY = new InstanceId("entry-0");
  private static final Instant NOW = Instant.EPOCH;
  private static final int SLOTS = 4;

  private final Steward naive = new EagerSteward(ENGINE, SERVICE, SLOTS);
  private final Steward guarded =
      new HeadroomSteward(ENGINE, SERVICE, StewardSettings.of(1, SLOTS));

  // A store hand's check takes seconds to begin: all slots of the engine hold batch items, the
  // check waits inside the engine until one of them ends.
  @Test
  void anOnlineRequestFreesASlotInTheEventThatTellsOfIt() {
    fill(naive);
    fill(guarded);
    assertEquals(0, cancels(naive.onOnline(ENTRY, 1, NOW)).size(), "the naive twin");
    assertEquals(1, cancels(guarded.onOnline(ENTRY, 1, NOW)).size());
    assertEquals(2, cancels(guarded.onOnline(ENTRY, 3, NOW)).size());
    assertEquals(0, cancels(guarded.onOnline(ENTRY, 3, NOW)).size(), "the same news twice");
  }

  // Batch work is never done on a busy day: of the items at an engine the one that is almost ready
  // is cancelled each time, and its work is lost.
  @Test
  void theItemThatLosesLeastIsCancelled() {
    fill(guarded);
    for (int i = 0; i < SLOTS; i++) {
      guarded.onProgress(ref(i), i == 2 ? 3 : 100 + i, NOW);
    }
    assertEquals(List.of(ref(2)), cancels(guarded.onOnline(ENTRY, 1, NOW)));
  }

  // The same store hand waits although every entry tells of its requests: one entry is cut off
  // from the steward, its requests fill slots, and batch items are started in them again.
  @Test
  void requestsThatNobodyTellsOfTakeRoomToo() {
    fill(guarded);
    LoadReport report = new LoadReport(NOW.plusSeconds(1), SLOTS, 2, SLOTS, 0, 0, 0, 0);
    List<Effect> effects = guarded.onLoad(report, NOW.plusSeconds(2));
    assertEquals(2, cancels(effects).size());
  }

  // A roster is late although the engine stood idle: a preempted item waits for this engine while
  // its online requests go on, and other engines have room.
  @Test
  void aPreemptedItemGoesBackWhenTheBurstLasts() {
    fill(guarded);
    ItemRef cancelled = cancels(guarded.onOnline(ENTRY, 1, NOW)).get(0);
    guarded.onEnded(cancelled, BatchOutcome.PREEMPTED, 40, NOW);
    List<Effect> effects = guarded.onTick(NOW.plusSeconds(3));
    ReturnItems back =
        effects.stream()
            .filter(ReturnItems.class::isInstance)
            .map(ReturnItems.class::cast)
            .findFirst()
            .orElseThrow();
    BatchItem item = back.items().get(0);
    assertEquals(40, item.generated());
    assertEquals(Optional.of(ENGINE), item.keptAt());
  }

  // Notes for the evening are not ready when the bus leaves: a large job that was accepted first
  // has thousands of items, and the small one with a near due time waits for its end.
  @Test
  void anItemThatIsDueSoonGoesBeforeALargeOlderJob() {
    List<BatchItem> items = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      items.add(item("large", i, Duration.ofHours(8)));
    }
    items.add(item("roster", 0, Duration.ofSeconds(1)));
    assertFalse(startedJobs(naive.onItems(items, NOW)).contains("roster"), "the naive twin");
    assertTrue(startedJobs(guarded.onItems(items, NOW)).contains("roster"));
  }

  // A report is missing, or a grower is billed twice: an item is started twice, or forgotten,
  // after a mix of bursts, preemptions and ends.
  @Property(tries = 200, seed = "20261202")
  void everyItemIsAtOnePlace(@ForAll long seed) {
    Random random = new Random(seed);
    Steward steward = new HeadroomSteward(ENGINE, SERVICE, StewardSettings.of(0.5, SLOTS));
    Set<ItemRef> running = new HashSet<>();
    Set<ItemRef> outside = new HashSet<>();
    int taken = 0;
    int done = 0;
    Instant now = NOW;
    for (int i = 0; i < 300; i++) {
      now = now.plusMillis(random.nextInt(500));
      List<Effect> effects;
      int action = random.nextInt(5);
      if (action == 0) {
        effects = steward.onItems(List.of(item("job-" + i % 3, i, Duration.ofHours(1))), now);
        taken++;
      } else if (action == 1) {
        effects = steward.onOnline(ENTRY, random.nextInt(SLOTS + 2), now);
      } else if (action == 2 && !running.isEmpty()) {
        ItemRef ref = running.iterator().next();
        running.remove(ref);
        boolean ended = random.nextBoolean();
        done += ended ? 1 : 0;
        BatchOutcome outcome = ended ? BatchOutcome.DONE : BatchOutcome.PREEMPTED;
        effects = steward.onEnded(ref, outcome, 5, now);
      } else {
        effects = steward.onTick(now);
      }
      follow(effects, running, outside);
      assertTrue(running.size() <= SLOTS, "more items than slots");
    }
    follow(steward.onStop(now), running, outside);
    for (ItemRef ref : List.copyOf(running)) {
      running.remove(ref);
      follow(steward.onEnded(ref, BatchOutcome.PREEMPTED, 5, now), running, outside);
    }
    assertEquals(taken, done + outside.size());
  }

  private static void follow(List<Effect> effects, Set<ItemRef> running, Set<ItemRef> outside) {
    for (Effect effect : effects) {
      if (effect instanceof StartItem start) {
        assertTrue(running.add(start.item().ref()), "started twice");
      } else if (effect instanceof ReturnItems back) {
        back.items().forEach(item -> assertTrue(outside.add(item.ref()), "returned twice"));
      }
    }
  }

  private static void fill(Steward steward) {
    List<BatchItem> items = new ArrayList<>();
    for (int i = 0; i < SLOTS; i++) {
      items.add(item("job", i, Duration.ofHours(1)));
    }
    steward.onItems(items, NOW);
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

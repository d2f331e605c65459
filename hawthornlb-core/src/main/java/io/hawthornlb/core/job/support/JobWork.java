package io.hawthornlb.core.job.support;

import io.hawthornlb.core.chart.ChartInstance;
import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.NoAction;
import io.hawthornlb.core.chart.StateChart;
import io.hawthornlb.core.chart.support.ChartResources;
import io.hawthornlb.core.job.ChunkLocation;
import io.hawthornlb.core.job.ItemDispatch;
import io.hawthornlb.core.job.JobCandidate;
import io.hawthornlb.core.job.JobHeader;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** What the holder knows of a running job beyond the log: two bits an item, and items in flight. */
final class JobWork {

  private static final StateChart<ItemState, ItemStep, NoAction> CHART =
      ChartResources.load(
          JobWork.class, "item.yaml", ChartTypes.of(ItemState.class, ItemStep.class));

  private final JobState state;
  private final BitSet done;
  private final BitSet taken;
  private final Map<Integer, Assignment> assigned = new LinkedHashMap<>();
  private final Map<Integer, Integer> attempts = new HashMap<>(0);
  private final Map<ServiceName, ServiceCursor> cursors = new HashMap<>();
  private Instant lastGivenAt;
  private boolean stopped;

  JobWork(JobState state) {
    this.state = state;
    this.done = state.endedItems();
    this.taken = state.endedItems();
    this.lastGivenAt = state.header().submittedAt();
    for (ChunkLocation chunk : state.chunks()) {
      cursors
          .computeIfAbsent(chunk.service(), service -> new ServiceCursor(taken))
          .add(chunk.firstItem(), chunk.endItem());
    }
  }

  JobHeader header() {
    return state.header();
  }

  JobState state() {
    return state;
  }

  Set<ServiceName> services() {
    return cursors.keySet();
  }

  /** Ends all handing out; running items are forgotten. */
  void stop() {
    stopped = true;
    assigned.clear();
  }

  boolean gives(ServiceName service) {
    ServiceCursor cursor = cursors.get(service);
    return !stopped && state.running() && cursor != null && cursor.next() >= 0;
  }

  JobCandidate candidate() {
    JobHeader header = state.header();
    return new JobCandidate(header.id(), header.workspace(), header.due(), lastGivenAt);
  }

  ItemDispatch give(ServiceName service, InstanceId steward, Instant now) {
    JobHeader header = state.header();
    int index = cursors.get(service).next();
    // An item that waits for its start to be durable is not with its steward yet.
    assign(index, steward, header.atMostOnce() ? Instant.MAX : now);
    lastGivenAt = now;
    return new ItemDispatch(
        header.id(),
        header.workspace(),
        state.locate(index),
        header.submittedAt(),
        header.due(),
        state.openItems(),
        attempts(index),
        header.atMostOnce());
  }

  void assign(int index, InstanceId steward, Instant now) {
    if (move(index, ItemStep.GIVEN) == ItemState.ASSIGNED) {
      taken.set(index);
      assigned.put(index, new Assignment(steward, now));
    }
  }

  /** Returns the state that a step leads to; what is kept of an item follows it. */
  private ItemState move(int index, ItemStep step) {
    ChartInstance<ItemState, ItemStep, NoAction> item =
        new ChartInstance<>(CHART, itemState(index));
    item.fire(step);
    if (item.state() != ItemState.ASSIGNED) {
      assigned.remove(index);
    }
    return item.state();
  }

  /** Returns the state that the bits of an item stand for. */
  private ItemState itemState(int index) {
    if (done.get(index)) {
      return ItemState.DONE;
    }
    if (assigned.containsKey(index)) {
      return ItemState.ASSIGNED;
    }
    return taken.get(index) ? ItemState.WITHHELD : ItemState.FREE;
  }

  @Nullable Assignment assignment(int index) {
    return assigned.get(index);
  }

  Map<Integer, Assignment> assignments() {
    return assigned;
  }

  /** Returns whether the item is neither ended, nor given out, nor waiting to be retried. */
  boolean free(int index) {
    return !stopped && state.open(index) && !taken.get(index);
  }

  /** Returns whether an outcome of the item is still wanted. */
  boolean wanted(int index) {
    return !stopped && state.open(index) && !done.get(index);
  }

  void end(int index) {
    move(index, ItemStep.ENDED);
    attempts.remove(index);
    taken.set(index);
    done.set(index);
  }

  /** Takes the item from its steward; it is given out again only after {@link #giveBack}. */
  void withhold(int index) {
    move(index, ItemStep.WITHHELD);
  }

  void giveBack(int index) {
    ItemState next = move(index, wanted(index) ? ItemStep.GIVEN_BACK : ItemStep.WITHHELD);
    if (wanted(index) && next == ItemState.FREE) {
      taken.clear(index);
      cursors.values().forEach(cursor -> cursor.giveBack(index));
    }
  }

  int attempts(int index) {
    return Math.max(state.attempts(index), attempts.getOrDefault(index, 0));
  }

  int countAttempt(int index) {
    int count = attempts(index) + 1;
    attempts.put(index, count);
    return count;
  }

  /**
   * An item given to a steward.
   *
   * @param steward the steward
   * @param confirmedAt when it was given, or last named by the steward
   */
  record Assignment(InstanceId steward, Instant confirmedAt) {}
}

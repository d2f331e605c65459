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

/**
 * State of a running job that only the holder has and the log does not contain: two bits for each
 * item, and the items in flight.
 */
final class RunningJob {

  private static final StateChart<ItemState, ItemStep, NoAction> CHART =
      ChartResources.load(
          RunningJob.class, "item.yaml", ChartTypes.of(ItemState.class, ItemStep.class));

  private final JobState state;
  private final BitSet done;
  private final BitSet taken;
  private final Map<Integer, Assignment> assigned = new LinkedHashMap<>();
  private final Map<Integer, Integer> attempts = new HashMap<>(0);
  private final Map<ServiceName, ServiceCursor> cursors = new HashMap<>();
  private Instant lastDispatchedAt;
  private boolean stopped;

  RunningJob(JobState state) {
    this.state = state;
    this.done = state.endedItems();
    this.taken = state.endedItems();
    this.lastDispatchedAt = state.header().submittedAt();
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

  /** Stops the assignment of items, and discards the assignments of running items. */
  void stop() {
    stopped = true;
    assigned.clear();
  }

  boolean hasFreeItem(ServiceName service) {
    ServiceCursor cursor = cursors.get(service);
    return !stopped && state.running() && cursor != null && cursor.next() >= 0;
  }

  JobCandidate candidate() {
    JobHeader header = state.header();
    return new JobCandidate(header.id(), header.workspace(), header.due(), lastDispatchedAt);
  }

  ItemDispatch assignNext(ServiceName service, InstanceId dispatcher, Instant now) {
    JobHeader header = state.header();
    int index = cursors.get(service).next();
    // An at-most-once item is sent to its dispatcher only after its start is durable. Until then
    // the assignment must not time out.
    assign(index, dispatcher, header.atMostOnce() ? Instant.MAX : now);
    lastDispatchedAt = now;
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

  void assign(int index, InstanceId dispatcher, Instant now) {
    if (move(index, ItemStep.ASSIGNED) == ItemState.ASSIGNED) {
      taken.set(index);
      assigned.put(index, new Assignment(dispatcher, now));
    }
  }

  /**
   * Applies a step to an item and returns the new state. An item that leaves the assigned state
   * loses its assignment.
   */
  private ItemState move(int index, ItemStep step) {
    ChartInstance<ItemState, ItemStep, NoAction> item =
        new ChartInstance<>(CHART, itemState(index));
    item.fire(step);
    if (item.state() != ItemState.ASSIGNED) {
      assigned.remove(index);
    }
    return item.state();
  }

  /** Returns the state that the bits and the assignment of an item encode. */
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

  /** Returns whether the item has no outcome, is not assigned, and does not wait for a retry. */
  boolean free(int index) {
    return !stopped && state.open(index) && !taken.get(index);
  }

  /** Returns whether the item still needs an outcome. */
  boolean needsOutcome(int index) {
    return !stopped && state.open(index) && !done.get(index);
  }

  void end(int index) {
    move(index, ItemStep.ENDED);
    attempts.remove(index);
    taken.set(index);
    done.set(index);
  }

  /** Takes the item from its dispatcher; the item is assigned again only after {@link #release}. */
  void withhold(int index) {
    move(index, ItemStep.WITHHELD);
  }

  void release(int index) {
    ItemState next = move(index, needsOutcome(index) ? ItemStep.RELEASED : ItemStep.WITHHELD);
    if (needsOutcome(index) && next == ItemState.FREE) {
      taken.clear(index);
      cursors.values().forEach(cursor -> cursor.release(index));
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
   * Assignment of an item to a dispatcher.
   *
   * @param dispatcher the dispatcher
   * @param confirmedAt when the item was assigned, or when the dispatcher last reported the item as
   *     in progress
   */
  record Assignment(InstanceId dispatcher, Instant confirmedAt) {}
}

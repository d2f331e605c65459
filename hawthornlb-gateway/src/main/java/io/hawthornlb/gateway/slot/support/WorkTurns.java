package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;
import java.util.HashMap;
import java.util.Map;

/**
 * Gives waiting requests their turns by start-time fair queueing in two levels: among data centres,
 * and among the workspaces of a data centre, each request charged its estimated work. Data centres
 * have shares by their usual load; see {@link DataCentreWeights}.
 *
 * <p>With one level, a data centre whose callers belong to few workspaces would be served less than
 * one with many, and the requests of a hot workspace in one data centre would delay those of all
 * others. The turns of data centres follow from the requests that were served, not from those that
 * wait, because a request may be inserted before those that wait already.
 */
final class WorkTurns implements Turns {

  /** Number of data centres from which on those that have no turns ahead are forgotten. */
  private static final int CLEAN_SIZE = 1_000;

  private final Map<String, FairTurns> workspaces = new HashMap<>();
  private final Map<String, Double> nextTurns = new HashMap<>();
  private final DataCentreWeights weights;
  private double current;

  WorkTurns(DataCentreWeights weights) {
    this.weights = weights;
  }

  @Override
  public String queue(SlotRequest request) {
    return request.batch() ? "" : request.dataCentre();
  }

  @Override
  public double queueTurn(String queue) {
    return Math.max(current, nextTurns.getOrDefault(queue, current));
  }

  @Override
  public double next(SlotRequest request) {
    FairTurns turns = workspaces.get(queue(request));
    return turns == null ? 0 : turns.next(request);
  }

  @Override
  public void taken(Waiter waiter) {
    String queue = queue(waiter.request());
    if (workspaces.size() >= CLEAN_SIZE && !workspaces.containsKey(queue)) {
      nextTurns.values().removeIf(next -> next <= current);
      workspaces.keySet().retainAll(nextTurns.keySet());
    }
    workspaces.computeIfAbsent(queue, any -> new FairTurns()).taken(waiter);
  }

  @Override
  public void served(Waiter waiter) {
    if (waiter.request().batch()) {
      return;
    }
    String queue = queue(waiter.request());
    current = queueTurn(queue);
    nextTurns.put(queue, current + waiter.units() / weights.of(queue));
    FairTurns turns = workspaces.get(queue);
    if (turns != null) {
      turns.served(waiter);
    }
  }

  @Override
  public void clear() {
    workspaces.clear();
    nextTurns.clear();
    current = 0;
  }
}

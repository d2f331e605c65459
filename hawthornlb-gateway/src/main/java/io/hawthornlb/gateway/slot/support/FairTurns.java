package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Gives waiting requests their turns by start-time fair queueing among workspaces.
 *
 * <p>If requests were served in order of arrival, a workspace that sends many times its usual would
 * take the slots of all others at a load peak. Here each request begins as many units after the
 * former one of its workspace as that was charged, one unless work is estimated, but not before the
 * turn that is being served. Workspaces that wait at the same time thus get slots one by one, and a
 * workspace that was idle saves no turns up.
 */
final class FairTurns implements Turns {

  /** Number of workspaces from which on those that no longer wait are forgotten. */
  private static final int CLEAN_SIZE = 1_000;

  private final Map<@Nullable WorkspaceId, Double> nextTurns = new HashMap<>();
  private double current;
  private int cleanSize = CLEAN_SIZE;

  @Override
  public String queue(SlotRequest request) {
    return "";
  }

  @Override
  public double queueTurn(String queue) {
    return 0;
  }

  @Override
  public double next(SlotRequest request) {
    return Math.max(current, nextTurns.getOrDefault(request.workspace(), current));
  }

  @Override
  public void taken(Waiter waiter) {
    nextTurns.put(waiter.request().workspace(), waiter.turn() + waiter.units());
    if (nextTurns.size() >= cleanSize) {
      nextTurns.values().removeIf(next -> next <= current);
      cleanSize = Math.max(CLEAN_SIZE, 2 * nextTurns.size());
    }
  }

  @Override
  public void clear() {
    nextTurns.clear();
    current = 0;
  }

  @Override
  public void served(Waiter waiter) {
    current = Math.max(current, waiter.turn());
  }
}

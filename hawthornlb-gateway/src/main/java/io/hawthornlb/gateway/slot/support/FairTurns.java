package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.model.WorkspaceId;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Gives waiting requests their turns by start-time fair queueing among workspaces.
 *
 * <p>If requests were served in order of arrival, a workspace that sends many times its usual would
 * take the slots of all others at a load peak. Here each request begins one turn after the former
 * one of its workspace, but not before the turn that is being served. Workspaces that wait at the
 * same time thus get slots one by one, and a workspace that was idle saves no turns up.
 */
final class FairTurns {

  /** Number of workspaces from which on those that no longer wait are forgotten. */
  private static final int CLEAN_SIZE = 1_000;

  private final Map<@Nullable WorkspaceId, Double> nextTurns = new HashMap<>();
  private double current;
  private int cleanSize = CLEAN_SIZE;

  /** Returns the turn that the next waiting request of a workspace gets. */
  double next(@Nullable WorkspaceId workspace) {
    return Math.max(current, nextTurns.getOrDefault(workspace, current));
  }

  /** Records that a request waits with a turn that {@link #next} has returned. */
  void taken(@Nullable WorkspaceId workspace, double turn) {
    nextTurns.put(workspace, turn + 1);
    if (nextTurns.size() >= cleanSize) {
      nextTurns.values().removeIf(next -> next <= current);
      cleanSize = Math.max(CLEAN_SIZE, 2 * nextTurns.size());
    }
  }

  /** Forgets all turns, because no request waits. */
  void clear() {
    nextTurns.clear();
    current = 0;
  }

  /** Records that a waiting request gets a slot. */
  void served(double turn) {
    current = Math.max(current, turn);
  }
}

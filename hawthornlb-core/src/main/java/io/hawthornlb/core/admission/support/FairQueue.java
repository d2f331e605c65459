package io.hawthornlb.core.admission.support;

import io.hawthornlb.core.model.WorkspaceId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Queue that shares starts fairly among workspaces (start-time fair queueing).
 *
 * <p>The cost of each operation is logarithmic in the number of waiting workspaces.
 */
final class FairQueue {

  private static final class Flow {

    private final WorkspaceId workspace;
    private final double weight;
    private final Set<Ticket> tickets = new LinkedHashSet<>();
    private double tag;
    private boolean suspended;

    private Flow(WorkspaceId workspace, double weight) {
      this.workspace = workspace;
      this.weight = weight;
    }

    private double tag() {
      return tag;
    }

    private WorkspaceId workspace() {
      return workspace;
    }
  }

  private final Map<WorkspaceId, Flow> flows = new HashMap<>();
  private final TreeSet<Flow> order =
      new TreeSet<>(Comparator.comparingDouble(Flow::tag).thenComparing(Flow::workspace));
  private double virtualTime;
  private double weights;
  private int size;

  /** Adds a request of a workspace that has the given weight. */
  void add(Ticket ticket, double weight) {
    WorkspaceId workspace = ticket.request().workspace();
    Flow flow = flows.get(workspace);
    if (flow == null) {
      flow = new Flow(workspace, weight);
      flow.tag = virtualTime + 1 / weight;
      flows.put(workspace, flow);
      order.add(flow);
      weights += weight;
    }
    flow.tickets.add(ticket);
    size++;
  }

  /** Returns the next request, or null if there is none. */
  @Nullable Ticket peek() {
    return order.isEmpty() ? null : order.first().tickets.iterator().next();
  }

  /**
   * Excludes a workspace until {@link #resume} is called, so that other workspaces do not wait
   * behind it.
   */
  void suspend(WorkspaceId workspace) {
    Flow flow = flows.get(workspace);
    if (flow != null && !flow.suspended) {
      order.remove(flow);
      flow.suspended = true;
    }
  }

  /** Includes a workspace again after {@link #suspend}. */
  void resume(WorkspaceId workspace) {
    Flow flow = flows.get(workspace);
    if (flow != null && flow.suspended) {
      flow.suspended = false;
      flow.tag = Math.max(flow.tag, virtualTime);
      order.add(flow);
    }
  }

  /** Includes all workspaces again after {@link #suspend}. */
  void resumeAll() {
    if (order.size() < flows.size()) {
      flows.keySet().forEach(this::resume);
    }
  }

  /** Removes a request that starts, and charges its workspace for it. */
  void start(Ticket ticket) {
    Flow flow = flows.get(ticket.request().workspace());
    if (flow != null && flow.tickets.remove(ticket)) {
      size--;
      order.remove(flow);
      virtualTime = Math.max(virtualTime, flow.tag);
      flow.tag += 1 / flow.weight;
      reinsertOrRemove(flow);
    }
  }

  /** Removes a request that does not start. */
  void remove(Ticket ticket) {
    Flow flow = flows.get(ticket.request().workspace());
    if (flow != null && flow.tickets.remove(ticket)) {
      size--;
      order.remove(flow);
      reinsertOrRemove(flow);
    }
  }

  /** Returns the number of waiting requests. */
  int size() {
    return size;
  }

  /** Returns the number of waiting requests of a workspace. */
  int size(WorkspaceId workspace) {
    Flow flow = flows.get(workspace);
    return flow == null ? 0 : flow.tickets.size();
  }

  /** Estimates the number of requests that would start before a new request of a workspace. */
  double ahead(WorkspaceId workspace, double weight) {
    Flow flow = flows.get(workspace);
    double active = weights + (flow == null ? weight : 0);
    double turns = size(workspace) * active / weight;
    double before = flow == null ? order.size() : turns;
    return Math.min(size, before);
  }

  private void reinsertOrRemove(Flow flow) {
    if (flow.tickets.isEmpty()) {
      flows.remove(flow.workspace);
      weights = flows.isEmpty() ? 0 : weights - flow.weight;
    } else if (!flow.suspended) {
      order.add(flow);
    }
  }
}

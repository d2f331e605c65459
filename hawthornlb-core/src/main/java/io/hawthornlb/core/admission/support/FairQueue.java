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
 * Start-time fair queue across workspaces.
 *
 * <p>Each operation costs the logarithm of the workspaces that wait.
 */
final class FairQueue {

  private static final class Flow {

    private final WorkspaceId workspace;
    private final double weight;
    private final Set<Ticket> tickets = new LinkedHashSet<>();
    private double tag;
    private boolean parked;

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

  /** Adds a request of a workspace with a weight. */
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

  /** Returns the next request, or null. */
  @Nullable Ticket peek() {
    return order.isEmpty() ? null : order.first().tickets.iterator().next();
  }

  /** Passes over a workspace until it is released, so that others do not wait behind it. */
  void park(WorkspaceId workspace) {
    Flow flow = flows.get(workspace);
    if (flow != null && !flow.parked) {
      order.remove(flow);
      flow.parked = true;
    }
  }

  /** Ends {@link #park}. */
  void release(WorkspaceId workspace) {
    Flow flow = flows.get(workspace);
    if (flow != null && flow.parked) {
      flow.parked = false;
      flow.tag = Math.max(flow.tag, virtualTime);
      order.add(flow);
    }
  }

  /** Ends {@link #park} for all workspaces. */
  void releaseAll() {
    if (order.size() < flows.size()) {
      flows.keySet().forEach(this::release);
    }
  }

  /** Removes a request that starts, which charges its workspace. */
  void start(Ticket ticket) {
    Flow flow = flows.get(ticket.request().workspace());
    if (flow != null && flow.tickets.remove(ticket)) {
      size--;
      order.remove(flow);
      virtualTime = Math.max(virtualTime, flow.tag);
      flow.tag += 1 / flow.weight;
      keepOrForget(flow);
    }
  }

  /** Removes a request that does not start. */
  void remove(Ticket ticket) {
    Flow flow = flows.get(ticket.request().workspace());
    if (flow != null && flow.tickets.remove(ticket)) {
      size--;
      order.remove(flow);
      keepOrForget(flow);
    }
  }

  /** Returns how many requests wait. */
  int size() {
    return size;
  }

  /** Returns how many requests of a workspace wait. */
  int size(WorkspaceId workspace) {
    Flow flow = flows.get(workspace);
    return flow == null ? 0 : flow.tickets.size();
  }

  /** Returns how many requests would start before a new one of a workspace. */
  double ahead(WorkspaceId workspace, double weight) {
    Flow flow = flows.get(workspace);
    double active = weights + (flow == null ? weight : 0);
    double turns = size(workspace) * active / weight;
    double before = flow == null ? order.size() : turns;
    return Math.min(size, before);
  }

  private void keepOrForget(Flow flow) {
    if (flow.tickets.isEmpty()) {
      flows.remove(flow.workspace);
      weights = flows.isEmpty() ? 0 : weights - flow.weight;
    } else if (!flow.parked) {
      order.add(flow);
    }
  }
}

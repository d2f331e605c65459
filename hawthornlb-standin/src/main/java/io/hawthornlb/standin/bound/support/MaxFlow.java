package io.hawthornlb.standin.bound.support;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/** Computes the maximum flow through a network with Dinic's algorithm. */
final class MaxFlow {

  private static final int UNREACHED = -1;

  private final List<List<Edge>> edges = new ArrayList<>();

  /** A directed edge. The capacity of its reverse edge is the flow that can be cancelled. */
  private static final class Edge {

    private final int to;
    private final int reverse;
    private long residualCapacity;

    private Edge(int to, int reverse, long residualCapacity) {
      this.to = to;
      this.reverse = reverse;
      this.residualCapacity = residualCapacity;
    }
  }

  /** Adds a node and returns its index. */
  int addNode() {
    edges.add(new ArrayList<>());
    return edges.size() - 1;
  }

  /** Adds a directed edge with the given capacity. */
  void addEdge(int from, int to, long capacity) {
    edges.get(from).add(new Edge(to, edges.get(to).size(), capacity));
    edges.get(to).add(new Edge(from, edges.get(from).size() - 1, 0));
  }

  /**
   * Augments the flow to the maximum that the residual capacities allow.
   *
   * <p>An augmentation never reduces the flow on the edges that leave the source.
   *
   * @return the added flow
   */
  long augment(int source, int sink) {
    long added = 0;
    int[] distance = distances(source, sink);
    while (distance[sink] != UNREACHED) {
      int[] next = new int[edges.size()];
      long pushed = push(source, sink, Long.MAX_VALUE, distance, next);
      while (pushed > 0) {
        added += pushed;
        pushed = push(source, sink, Long.MAX_VALUE, distance, next);
      }
      distance = distances(source, sink);
    }
    return added;
  }

  private int[] distances(int source, int sink) {
    int[] distance = new int[edges.size()];
    Arrays.fill(distance, UNREACHED);
    distance[source] = 0;
    Deque<Integer> queue = new ArrayDeque<>(List.of(source));
    while (!queue.isEmpty() && distance[sink] == UNREACHED) {
      int node = queue.remove();
      for (Edge edge : edges.get(node)) {
        if (edge.residualCapacity > 0 && distance[edge.to] == UNREACHED) {
          distance[edge.to] = distance[node] + 1;
          queue.add(edge.to);
        }
      }
    }
    return distance;
  }

  /**
   * Pushes flow along one shortest path to the sink.
   *
   * @param limit the most flow to push
   * @param distance the distance of each node from the source; each edge of the path leads to the
   *     next greater distance
   * @param next the index of the first edge of each node that can still carry flow; advanced past
   *     exhausted edges
   * @return the flow that was pushed; 0 if there is no path left
   */
  private long push(int node, int sink, long limit, int[] distance, int[] next) {
    if (node == sink) {
      return limit;
    }
    while (next[node] < edges.get(node).size()) {
      Edge edge = edges.get(node).get(next[node]);
      if (edge.residualCapacity > 0 && distance[edge.to] == distance[node] + 1) {
        long pushed = push(edge.to, sink, Math.min(limit, edge.residualCapacity), distance, next);
        if (pushed > 0) {
          edge.residualCapacity -= pushed;
          edges.get(edge.to).get(edge.reverse).residualCapacity += pushed;
          return pushed;
        }
      }
      next[node]++;
    }
    return 0;
  }
}

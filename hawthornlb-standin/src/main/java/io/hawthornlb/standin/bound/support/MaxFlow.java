package io.hawthornlb.standin.bound.support;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/** Largest flow through a network, found by blocking flows along shortest paths (Dinic). */
final class MaxFlow {

  private static final int UNREACHED = -1;

  private final List<List<Edge>> edges = new ArrayList<>();

  /** An edge; its reverse holds what can be taken back. */
  private static final class Edge {

    private final int to;
    private final int reverse;
    private long room;

    private Edge(int to, int reverse, long room) {
      this.to = to;
      this.reverse = reverse;
      this.room = room;
    }
  }

  /** Adds a node and returns its number. */
  int node() {
    edges.add(new ArrayList<>());
    return edges.size() - 1;
  }

  /** Adds an edge with a capacity. */
  void edge(int from, int to, long capacity) {
    edges.get(from).add(new Edge(to, edges.get(to).size(), capacity));
    edges.get(to).add(new Edge(from, edges.get(from).size() - 1, 0));
  }

  /**
   * Adds as much flow as there is room for, and returns how much that is. What flowed out of the
   * source before goes on doing so.
   */
  long increase(int source, int sink) {
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
    Deque<Integer> open = new ArrayDeque<>(List.of(source));
    while (!open.isEmpty() && distance[sink] == UNREACHED) {
      int node = open.remove();
      for (Edge edge : edges.get(node)) {
        if (edge.room > 0 && distance[edge.to] == UNREACHED) {
          distance[edge.to] = distance[node] + 1;
          open.add(edge.to);
        }
      }
    }
    return distance;
  }

  /** Pushes flow along one path that gets nearer to the sink with each edge. */
  private long push(int node, int sink, long most, int[] distance, int[] next) {
    if (node == sink) {
      return most;
    }
    while (next[node] < edges.get(node).size()) {
      Edge edge = edges.get(node).get(next[node]);
      if (edge.room > 0 && distance[edge.to] == distance[node] + 1) {
        long pushed = push(edge.to, sink, Math.min(most, edge.room), distance, next);
        if (pushed > 0) {
          edge.room -= pushed;
          edges.get(edge.to).get(edge.reverse).room += pushed;
          return pushed;
        }
      }
      next[node]++;
    }
    return 0;
  }
}

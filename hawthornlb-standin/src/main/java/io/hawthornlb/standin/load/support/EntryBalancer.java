package io.hawthornlb.standin.load.support;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Distributes requests to the entry instances in round-robin order. */
public final class EntryBalancer {

  private final List<String> entries;
  private final AtomicInteger next = new AtomicInteger();

  /** Creates a balancer that starts with the first entry instance. */
  public EntryBalancer(List<String> entries) {
    this.entries = List.copyOf(entries);
  }

  /** Returns all entry instances in the order in which the next request tries them. */
  public List<String> next() {
    int first = Math.floorMod(next.getAndIncrement(), entries.size());
    List<String> order = new ArrayList<>(entries.subList(first, entries.size()));
    order.addAll(entries.subList(0, first));
    return order;
  }
}

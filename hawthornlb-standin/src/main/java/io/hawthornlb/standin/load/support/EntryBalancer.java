package io.hawthornlb.standin.load.support;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Deals requests out to the entries in turn. */
public final class EntryBalancer {

  private final List<String> entries;
  private final AtomicInteger next = new AtomicInteger();

  /** Starts with the first entry. */
  public EntryBalancer(List<String> entries) {
    this.entries = List.copyOf(entries);
  }

  /** Returns all entries in the order in which one request tries them. */
  public List<String> next() {
    int first = Math.floorMod(next.getAndIncrement(), entries.size());
    List<String> order = new ArrayList<>(entries.subList(first, entries.size()));
    order.addAll(entries.subList(0, first));
    return order;
  }
}

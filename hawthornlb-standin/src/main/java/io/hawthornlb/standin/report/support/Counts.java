package io.hawthornlb.standin.report.support;

import io.hawthornlb.standin.report.Count;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/** Counters by name. Safe for use by multiple threads. */
final class Counts {

  private final Map<String, LongAdder> counts = new ConcurrentSkipListMap<>();

  void add(String name) {
    counts.computeIfAbsent(name, unused -> new LongAdder()).increment();
  }

  long sum() {
    return counts.values().stream().mapToLong(LongAdder::sum).sum();
  }

  List<Count> list() {
    return counts.entrySet().stream()
        .map(entry -> new Count(entry.getKey(), entry.getValue().sum()))
        .toList();
  }
}

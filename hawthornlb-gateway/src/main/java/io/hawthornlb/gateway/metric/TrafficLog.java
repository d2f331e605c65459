package io.hawthornlb.gateway.metric;

import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.event.EventLog;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;

/** Logs the counts of connections, store calls and datagrams of a gateway so far as one line. */
public final class TrafficLog {

  private static final List<String> NAMES =
      List.of("connections.", "store.calls", "store.reads.", "datagrams.");

  private final GatewayMetrics metrics;
  private final EventLog log;

  /** Creates a writer of traffic lines. */
  public TrafficLog(GatewayMetrics metrics, EventLog log) {
    this.metrics = metrics;
    this.log = log;
  }

  /** Writes the current counts, ordered by name. */
  public void write() {
    EventLine line = log.important("process", "traffic");
    counts().forEach(line::with);
    line.write();
  }

  private Map<String, Long> counts() {
    Map<String, Long> counts = new TreeMap<>();
    for (Map.Entry<GatewayMetrics.Series, LongAdder> counter : metrics.counters().entrySet()) {
      GatewayMetrics.Series series = counter.getKey();
      if (NAMES.stream().anyMatch(series.name()::startsWith)) {
        counts.put(series.name() + " " + series.label(), counter.getValue().sum());
      }
    }
    return counts;
  }
}

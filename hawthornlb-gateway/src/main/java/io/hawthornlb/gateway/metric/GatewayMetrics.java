package io.hawthornlb.gateway.metric;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counters, latencies and gauges of a gateway.
 *
 * <p>Recording a value costs one addition. The registry that formats the metrics is created at the
 * first scrape, because it would add about 50 ms to each start.
 */
public final class GatewayMetrics {

  /**
   * Maximum number of series of counters, of latencies and of gauges; a configuration has tens of
   * routes, and a caller cannot add any.
   */
  private static final int MAX_SERIES = 200;

  private static final String OTHERS = "others";

  private final Map<Series, LongAdder> counters = new ConcurrentHashMap<>();
  private final Map<Series, LatencyHistogram> latencies = new ConcurrentHashMap<>();
  private final Map<Series, AtomicLong> gauges = new ConcurrentHashMap<>();

  /**
   * Identifies a series.
   *
   * @param name what is counted
   * @param label dimension of the count, such as a route, a cause or a kind
   */
  public record Series(String name, String label) {

    // Written explicitly because the generated methods of a record are linked at run time, which
    // takes some milliseconds.
    @Override
    public boolean equals(Object other) {
      return other instanceof Series series
          && name.equals(series.name)
          && label.equals(series.label);
    }

    @Override
    public int hashCode() {
      return 31 * name.hashCode() + label.hashCode();
    }
  }

  /** Increments a counter. */
  public void count(String name, String label) {
    Series series = bounded(counters, name, label);
    counters.computeIfAbsent(series, any -> new LongAdder()).increment();
  }

  /** Records a duration. */
  public void time(String name, String label, Duration time) {
    Series series = bounded(latencies, name, label);
    latencies.computeIfAbsent(series, any -> new LatencyHistogram()).record(time);
  }

  /** Sets the present value of a gauge. */
  public void gauge(String name, String label, long value) {
    Series series = bounded(gauges, name, label);
    gauges.computeIfAbsent(series, any -> new AtomicLong()).set(value);
  }

  Map<Series, LongAdder> counters() {
    return counters;
  }

  Map<Series, LatencyHistogram> latencies() {
    return latencies;
  }

  Map<Series, AtomicLong> gauges() {
    return gauges;
  }

  private static <T> Series bounded(Map<Series, T> known, String name, String label) {
    Series series = new Series(name, label);
    boolean room = known.size() < MAX_SERIES || known.containsKey(series);
    return room ? series : new Series(name, OTHERS);
  }
}

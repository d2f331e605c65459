package io.hawthornlb.gateway.metric;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Formats the metrics as text in the Prometheus format. Creates the registry at the first scrape.
 */
public final class MetricsText {

  private static final String LABEL = "by";
  private static final String BOUND = "le_ms";

  private final GatewayMetrics metrics;
  private final Set<GatewayMetrics.Series> bound = new HashSet<>();
  private @Nullable PrometheusMeterRegistry registry;

  /** Creates a formatter for metrics. */
  public MetricsText(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  /** Returns the current values of all metrics. */
  public String write() {
    PrometheusMeterRegistry open = registry;
    if (open == null) {
      open = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      registry = open;
    }
    for (Map.Entry<GatewayMetrics.Series, LongAdder> counter : metrics.counters().entrySet()) {
      if (bound.add(counter.getKey())) {
        bind(open, counter.getKey(), counter.getValue());
      }
    }
    for (Map.Entry<GatewayMetrics.Series, LatencyHistogram> latency :
        metrics.latencies().entrySet()) {
      if (bound.add(latency.getKey())) {
        bind(open, latency.getKey(), latency.getValue());
      }
    }
    for (Map.Entry<GatewayMetrics.Series, AtomicLong> gauge : metrics.gauges().entrySet()) {
      if (bound.add(gauge.getKey())) {
        bind(open, gauge.getKey(), gauge.getValue());
      }
    }
    return open.scrape();
  }

  private static void bind(
      PrometheusMeterRegistry registry, GatewayMetrics.Series series, LongAdder value) {
    FunctionCounter.builder(series.name(), value, LongAdder::sum)
        .tag(LABEL, series.label())
        .register(registry);
  }

  private static void bind(
      PrometheusMeterRegistry registry, GatewayMetrics.Series series, AtomicLong value) {
    Gauge.builder(series.name(), value, AtomicLong::get)
        .tag(LABEL, series.label())
        .register(registry);
  }

  private static void bind(
      PrometheusMeterRegistry registry, GatewayMetrics.Series series, LatencyHistogram value) {
    for (int bucket = 0; bucket < LatencyHistogram.bucketCount(); bucket++) {
      int upTo = bucket;
      FunctionCounter.builder(series.name() + ".upto", value, each -> each.upTo(upTo))
          .tag(LABEL, series.label())
          .tag(BOUND, String.valueOf(LatencyHistogram.bound(bucket)))
          .register(registry);
    }
    FunctionCounter.builder(series.name() + ".count", value, LatencyHistogram::count)
        .tag(LABEL, series.label())
        .register(registry);
    FunctionCounter.builder(series.name() + ".millis", value, LatencyHistogram::totalMillis)
        .tag(LABEL, series.label())
        .register(registry);
  }
}

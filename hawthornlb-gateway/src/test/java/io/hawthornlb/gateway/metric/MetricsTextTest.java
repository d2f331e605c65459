package io.hawthornlb.gateway.metric;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class MetricsTextTest {

  private final GatewayMetrics metrics = new GatewayMetrics();
  private final MetricsText text = new MetricsText(metrics);

  @Test
  void writesCountersAndHistograms() {
    metrics.count("requests.answered", "r1");
    metrics.count("requests.answered", "r1");
    metrics.time("requests.first", "r1", Duration.ofMillis(60));
    String output = text.write();
    assertTrue(output.contains("requests_answered_total{by=\"r1\"} 2.0"), output);
    assertTrue(output.contains("requests_first_upto_total{by=\"r1\",le_ms=\"64\"} 1.0"), output);
    assertTrue(output.contains("requests_first_upto_total{by=\"r1\",le_ms=\"32\"} 0.0"), output);
  }

  @Test
  void writesTheLatestValueOfAGauge() {
    metrics.gauge("pace.median", "engine", 1);
    metrics.gauge("pace.median", "engine", 1.5);
    String output = text.write();
    assertTrue(output.contains("pace_median{by=\"engine\"} 1.5"), output);
  }

  /** Guards against a process that runs out of memory because each new label creates a series. */
  @Test
  void limitsTheNumberOfSeries() {
    for (int i = 0; i < 1_000; i++) {
      metrics.count("requests.answered", "r" + i);
    }
    String output = text.write();
    assertTrue(output.contains("by=\"others\""), "others");
    assertFalse(output.contains("by=\"r900\""), "r900");
  }
}

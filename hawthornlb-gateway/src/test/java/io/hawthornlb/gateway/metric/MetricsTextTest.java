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
    String figures = text.write();
    assertTrue(figures.contains("requests_answered_total{by=\"r1\"} 2.0"), figures);
    assertTrue(figures.contains("requests_first_upto_total{by=\"r1\",le_ms=\"64\"} 1.0"), figures);
    assertTrue(figures.contains("requests_first_upto_total{by=\"r1\",le_ms=\"32\"} 0.0"), figures);
  }

  /** A process runs out of memory because each new label makes a series. */
  @Test
  void boundsTheNumberOfSeries() {
    for (int i = 0; i < 1_000; i++) {
      metrics.count("requests.answered", "r" + i);
    }
    String figures = text.write();
    assertTrue(figures.contains("by=\"others\""), "others");
    assertFalse(figures.contains("by=\"r900\""), "r900");
  }
}

package io.hawthornlb.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.demand.DemandPhase;
import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.metric.MetricsText;
import io.hawthornlb.gateway.slot.DemandReport;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class DemandMonitorTest {

  /** Guards against a log that is filled by a line for each report. */
  @Test
  void logsEachPhaseOnceAndShowsTheDemand() {
    RecordingEventLog log = new RecordingEventLog();
    GatewayMetrics metrics = new GatewayMetrics();
    DemandMonitor monitor = new DemandMonitor(log, metrics);
    for (boolean peak : new boolean[] {false, false, true, true}) {
      DemandPhase phase = new DemandPhase(peak, 80, Instant.EPOCH, Duration.ofSeconds(3));
      monitor.report("s", new DemandReport(70, 79.6, Optional.of(phase)));
    }
    assertEquals(List.of("slot.demand.phase", "slot.demand.phase"), log.events());
    String text = new MetricsText(metrics).write();
    assertTrue(text.contains("demand_actual{by=\"s\"} 70.0"), text);
    assertTrue(text.contains("demand_forecast{by=\"s\"} 80.0"), text);
  }
}

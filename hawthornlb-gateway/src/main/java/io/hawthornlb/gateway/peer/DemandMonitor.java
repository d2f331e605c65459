package io.hawthornlb.gateway.peer;

import io.hawthornlb.core.demand.DemandPhase;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.slot.DemandReport;
import java.util.HashMap;
import java.util.Map;

/** Shows the demand of services in metrics, and logs the phases of their load cycles. */
public final class DemandMonitor {

  private final EventLog log;
  private final GatewayMetrics metrics;
  private final Map<String, Boolean> inPeak = new HashMap<>();

  /** Creates a monitor. */
  public DemandMonitor(EventLog log, GatewayMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /** Handles a report of the coordinator of a service. */
  public void report(String service, DemandReport report) {
    metrics.gauge("demand.actual", service, report.actual());
    metrics.gauge("demand.forecast", service, Math.round(report.forecast()));
    if (report.phase().isEmpty()) {
      inPeak.remove(service);
      return;
    }
    DemandPhase phase = report.phase().get();
    Boolean before = inPeak.put(service, phase.peak());
    if (before == null || before != phase.peak()) {
      log.routine("slot", "demand.phase")
          .with("service", service)
          .with("phase", phase.peak() ? "peak" : "trough")
          .with("slots", Math.round(phase.slots()))
          .with("usualMillis", phase.usualLength().toMillis())
          .write();
    }
  }
}

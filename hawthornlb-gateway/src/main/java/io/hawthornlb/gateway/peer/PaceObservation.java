package io.hawthornlb.gateway.peer;

import io.hawthornlb.core.pace.PaceListener;
import io.hawthornlb.core.pace.PaceSummary;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.slot.support.DefaultSlotCoordinator;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Logs and measures the pace of the endpoints of the services that this process coordinates. */
final class PaceObservation {

  /** Interval of the measurement, which examines all endpoints of a service. */
  private static final Duration EVERY = Duration.ofSeconds(1);

  private final EventLog log;
  private final GatewayMetrics metrics;
  private final Map<String, DefaultSlotCoordinator> observed = new HashMap<>();
  private Instant next = Instant.MIN;

  PaceObservation(EventLog log, GatewayMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /** Observes the coordinator of a service from now on. */
  void observe(String service, DefaultSlotCoordinator coordinator) {
    observed.put(service, coordinator);
    coordinator.onPaceChange(logging(service));
  }

  /** Updates the gauges if it is time to. */
  void update(Instant now) {
    if (now.isBefore(next)) {
      return;
    }
    next = now.plus(EVERY);
    observed.forEach(
        (service, coordinator) -> {
          Optional<PaceSummary> summary = coordinator.paceSummary(now);
          if (summary.isPresent()) {
            metrics.gauge("pace.median", service, summary.get().median());
            metrics.gauge("pace.slowest", service, summary.get().slowest());
          }
        });
  }

  private PaceListener logging(String service) {
    return (endpoint, factor, usual) ->
        log.important("slot", "pace.changed")
            .with("service", service)
            .with("endpoint", endpoint)
            .with("percent", Math.round(100 * factor))
            .with("usual", String.valueOf(usual))
            .write();
  }
}

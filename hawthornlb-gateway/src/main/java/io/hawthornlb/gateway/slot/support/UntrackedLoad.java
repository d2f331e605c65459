package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks requests at endpoints that are not covered by any holder's lease.
 *
 * <p>When all gateways lose power at once, endpoints do not notice it and keep running their
 * requests for seconds, while the newly started coordinator considers their slots free. New
 * requests then queue at the endpoints, where the coordinator cannot revoke them. Reports of
 * requests that wait at an endpoint show this state. The coordinator therefore counts the load that
 * an endpoint reports beyond the granted slots as slots in use for a while.
 */
final class UntrackedLoad {

  /**
   * Time for which a reported load stays valid; a full endpoint answers more often and so renews
   * its report.
   */
  private static final Duration VALID = Duration.ofMillis(500);

  private record Report(int requests, Instant until) {}

  private final Map<String, Report> reports = new HashMap<>();

  void reported(String endpoint, ReportedLoad load, int granted, Instant now) {
    int untracked = load.running() + load.waiting() - granted;
    if (untracked > 0) {
      reports.put(endpoint, new Report(untracked, now.plus(VALID)));
    } else {
      reports.remove(endpoint);
    }
  }

  /** Discards the load that a former incarnation of an endpoint reported. */
  void forget(String endpoint) {
    reports.remove(endpoint);
  }

  int at(String endpoint, Instant now) {
    Report report = reports.get(endpoint);
    if (report == null) {
      return 0;
    }
    if (!now.isBefore(report.until())) {
      reports.remove(endpoint);
      return 0;
    }
    return report.requests();
  }
}

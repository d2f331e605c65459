package io.hawthornlb.gateway.metric;

import static org.junit.jupiter.api.Assertions.assertFalse;

import io.hawthornlb.gateway.event.JsonEventLog;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

class TrafficLogTest {

  /**
   * Guards against losing the traffic counts of a process that is killed before its metrics are
   * read.
   */
  @Test
  void writesCountsOfTrafficAsOneLine() {
    GatewayMetrics metrics = new GatewayMetrics();
    metrics.count("connections.opened", "first");
    metrics.count("connections.opened", "first");
    metrics.count("store.calls", "join");
    metrics.count("requests.refused", "no route");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new TrafficLog(metrics, new JsonEventLog(InstantSource.system(), out)).write();
    Awaitility.await()
        .until(() -> text(out).contains("\"connections.opened first\":2,\"store.calls join\":1}"));
    assertFalse(text(out).contains("requests.refused"));
  }

  private static String text(ByteArrayOutputStream out) {
    return out.toString(StandardCharsets.UTF_8);
  }
}

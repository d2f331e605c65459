package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts connections to endpoints, by the reason why a new one was opened and why older ones were
 * closed.
 */
final class ConnectionCounts {

  private static final String REQUESTS = "connections.requests";
  private static final String OPENED = "connections.opened";
  private static final String CLOSED = "connections.closed";

  private final GatewayMetrics metrics;
  private final Map<EndpointIncarnation, Use> uses = new HashMap<>();

  ConnectionCounts(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  /** Counts a request that reuses an idle connection. */
  void reused(EndpointIncarnation endpoint) {
    metrics.count(REQUESTS, "kept");
    use(endpoint).open++;
  }

  /**
   * Counts a request that needs a new connection, by the reason why no older connection could be
   * reused.
   */
  void opened(EndpointIncarnation endpoint) {
    metrics.count(REQUESTS, "opened");
    Use use = use(endpoint);
    metrics.count(OPENED, use.reason());
    use.open++;
  }

  /**
   * Counts a request that needs a new connection because each idle one has carried its id before.
   */
  void openedBesideIdle(EndpointIncarnation endpoint) {
    metrics.count(REQUESTS, "opened");
    metrics.count(OPENED, "same id");
    use(endpoint).open++;
  }

  /** Records that a request has ended and its connection is idle now. */
  void onIdle(EndpointIncarnation endpoint) {
    known(endpoint).ifPresent(use -> use.open--);
  }

  /** Counts the close of a connection that was in use. */
  void closed(EndpointIncarnation endpoint, ConnectionEnd end) {
    known(endpoint).ifPresent(use -> use.open--);
    closedIdle(endpoint, end);
  }

  /** Counts the close of an idle connection. */
  void closedIdle(EndpointIncarnation endpoint, ConnectionEnd end) {
    metrics.count(CLOSED, end.label());
    known(endpoint).ifPresent(use -> use.lastEnd = end.label());
  }

  /** Removes the counts of an endpoint that has left. */
  void forget(EndpointIncarnation endpoint) {
    uses.remove(endpoint);
  }

  /**
   * Returns the counts of an endpoint; empty if they were removed while connections were still
   * open.
   */
  private Optional<Use> known(EndpointIncarnation endpoint) {
    return Optional.ofNullable(uses.get(endpoint));
  }

  private Use use(EndpointIncarnation endpoint) {
    return uses.computeIfAbsent(endpoint, any -> new Use());
  }

  /** Connections to one endpoint. */
  private static final class Use {

    private int open;
    private String lastEnd = "first";

    private String reason() {
      return open > 0 ? "in use" : lastEnd;
    }
  }
}

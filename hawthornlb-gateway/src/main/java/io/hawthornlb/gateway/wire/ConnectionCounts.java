package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.endpoint.EndpointLife;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Counts connections to endpoints: how many are opened, and what became of those before. */
final class ConnectionCounts {

  private static final String REQUESTS = "connections.requests";
  private static final String OPENED = "connections.opened";
  private static final String CLOSED = "connections.closed";

  private final GatewayMetrics metrics;
  private final Map<EndpointLife, Use> uses = new HashMap<>();

  ConnectionCounts(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  /** Counts a request on a kept connection. */
  void reused(EndpointLife endpoint) {
    metrics.count(REQUESTS, "kept");
    use(endpoint).open++;
  }

  /** Counts a request that needs a new connection, by what keeps it from an older one. */
  void opened(EndpointLife endpoint) {
    metrics.count(REQUESTS, "opened");
    Use use = use(endpoint);
    metrics.count(OPENED, use.reason());
    use.open++;
  }

  /** Takes that a request has ended and its connection rests. */
  void kept(EndpointLife endpoint) {
    known(endpoint).ifPresent(use -> use.open--);
  }

  /** Counts the end of a connection that carried a request until now. */
  void closed(EndpointLife endpoint, ConnectionEnd end) {
    known(endpoint).ifPresent(use -> use.open--);
    closedAtRest(endpoint, end);
  }

  /** Counts the end of a connection that rested. */
  void closedAtRest(EndpointLife endpoint, ConnectionEnd end) {
    metrics.count(CLOSED, end.label());
    known(endpoint).ifPresent(use -> use.lastEnd = end.label());
  }

  /** Forgets an endpoint that is gone. */
  void forget(EndpointLife endpoint) {
    uses.remove(endpoint);
  }

  /** Returns the use of an endpoint; connections outlast one that was forgotten. */
  private Optional<Use> known(EndpointLife endpoint) {
    return Optional.ofNullable(uses.get(endpoint));
  }

  private Use use(EndpointLife endpoint) {
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

package io.hawthornlb.net.endpoint.support;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * Bounds of an endpoint client.
 *
 * @param connectTimeout the time for a connection to come about
 * @param readTimeout the longest silence on any connection
 * @param maxAnswerBytes the largest whole answer
 * @param connectionsPerEndpoint connections of one kind of traffic to one endpoint
 * @param threads I/O threads of each kind of traffic
 */
public record EndpointClientSettings(
    Duration connectTimeout,
    Duration readTimeout,
    int maxAnswerBytes,
    int connectionsPerEndpoint,
    int threads) {

  /** Bounds that fit a small instance. */
  public static final EndpointClientSettings DEFAULT =
      new EndpointClientSettings(Duration.ofMillis(500), Duration.ofMinutes(5), 8 << 20, 256, 2);

  /** Checks that the bounds are positive. */
  public EndpointClientSettings {
    Checks.isTrue(maxAnswerBytes > 0, "max answer bytes must be positive");
    Checks.isTrue(connectionsPerEndpoint > 0, "connections per endpoint must be positive");
    Checks.isTrue(threads > 0, "threads must be positive");
  }
}

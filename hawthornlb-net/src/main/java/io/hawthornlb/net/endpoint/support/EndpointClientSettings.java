package io.hawthornlb.net.endpoint.support;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * Timeouts and limits of an endpoint client.
 *
 * @param connectTimeout the time allowed to open a connection
 * @param readTimeout the longest time without received bytes on a connection
 * @param maxAnswerBytes the largest complete response in bytes
 * @param connectionsPerEndpoint the most connections of one kind of traffic to one endpoint
 * @param threads the I/O threads of each kind of traffic
 */
public record EndpointClientSettings(
    Duration connectTimeout,
    Duration readTimeout,
    int maxAnswerBytes,
    int connectionsPerEndpoint,
    int threads) {

  /** Default settings, for a small instance. */
  public static final EndpointClientSettings DEFAULT =
      new EndpointClientSettings(Duration.ofMillis(500), Duration.ofMinutes(5), 8 << 20, 256, 2);

  /** Checks that the limits are positive. */
  public EndpointClientSettings {
    Checks.isTrue(maxAnswerBytes > 0, "max answer bytes must be positive");
    Checks.isTrue(connectionsPerEndpoint > 0, "connections per endpoint must be positive");
    Checks.isTrue(threads > 0, "threads must be positive");
  }
}

package io.hawthornlb.core.pace;

import java.time.Duration;
import java.time.Instant;

/**
 * Pace of the endpoints of one service.
 *
 * <p>A factor tells how long work takes at an endpoint compared with the usual endpoint of the
 * service: 1 as long as usual, 2 twice as long.
 */
public interface PaceTable {

  /**
   * Records the pace that an endpoint reported about its machine at this moment.
   *
   * @param percent time that work takes at this moment; 100 as usual, 200 twice as long
   */
  void reported(String endpoint, int percent, Instant now);

  /**
   * Learns the lasting pace of an endpoint from a completed use of one of its slots.
   *
   * @param estimated time that the use was estimated to take at the usual endpoint
   * @param actual time that the use took
   */
  void completed(String endpoint, Duration estimated, Duration actual, Instant now);

  /** Returns the factor that an endpoint has shown over time; 1 if it is not known. */
  double lastingFactor(String endpoint);

  /** Returns the factor at this moment, including a recent report of the endpoint. */
  double factor(String endpoint, Instant now);

  /** Returns whether any endpoint of the service has reported a pace. */
  boolean active();

  /** Discards what is known of an endpoint, because a new incarnation of it has started. */
  void forget(String endpoint);
}

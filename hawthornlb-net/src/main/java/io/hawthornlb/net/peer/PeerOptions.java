package io.hawthornlb.net.peer;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * Times and bounds of connections between peers.
 *
 * @param probe how long nothing may arrive before a connection is probed
 * @param silence how long nothing may arrive before a connection is given up
 * @param connectTimeout how long to wait for a new connection
 * @param minBackoff the shortest time between two tries to connect
 * @param maxBackoff the longest time between two tries to connect
 * @param idleTimeout how long a connection that need not be kept may go unused
 * @param frameLimit the largest frame in bytes
 * @param writeLimit how many bytes may wait to be written before messages are refused
 * @param pendingLimit how many requests may wait for the answers of one peer
 */
public record PeerOptions(
    Duration probe,
    Duration silence,
    Duration connectTimeout,
    Duration minBackoff,
    Duration maxBackoff,
    Duration idleTimeout,
    int frameLimit,
    int writeLimit,
    int pendingLimit) {

  /** Options for instances within a region. */
  public static final PeerOptions DEFAULT =
      new PeerOptions(
          Duration.ofMillis(500),
          Duration.ofMillis(1_500),
          Duration.ofSeconds(1),
          Duration.ofMillis(100),
          Duration.ofSeconds(2),
          Duration.ofMinutes(1),
          4 << 20,
          8 << 20,
          10_000);

  /** Checks that the times are in order and the bounds positive. */
  public PeerOptions {
    Checks.isTrue(probe.toMillis() > 0, "probe must be at least a millisecond");
    Checks.isTrue(silence.compareTo(probe.multipliedBy(2)) >= 0, "silence must be two probes");
    Checks.isTrue(maxBackoff.compareTo(minBackoff) >= 0, "max backoff must not be below min");
    Checks.isTrue(frameLimit > 0 && writeLimit > 0, "limits must be positive");
    Checks.isTrue(pendingLimit > 0, "pending limit must be positive");
  }

  /** Returns these options with other times for probes. */
  public PeerOptions withProbes(Duration newProbe, Duration newSilence) {
    return new PeerOptions(
        newProbe,
        newSilence,
        connectTimeout,
        minBackoff,
        maxBackoff,
        idleTimeout,
        frameLimit,
        writeLimit,
        pendingLimit);
  }

  /** Returns these options with another time that an unused connection stays. */
  public PeerOptions withIdleTimeout(Duration newIdleTimeout) {
    return new PeerOptions(
        probe,
        silence,
        connectTimeout,
        minBackoff,
        maxBackoff,
        newIdleTimeout,
        frameLimit,
        writeLimit,
        pendingLimit);
  }

  /** Returns these options with another limit of frames. */
  public PeerOptions withFrameLimit(int newFrameLimit) {
    return new PeerOptions(
        probe,
        silence,
        connectTimeout,
        minBackoff,
        maxBackoff,
        idleTimeout,
        newFrameLimit,
        Math.max(writeLimit, newFrameLimit),
        pendingLimit);
  }
}

package io.hawthornlb.net.peer;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;

/**
 * Timeouts and limits of connections between peers.
 *
 * @param probe the time without received bytes after which a probe is sent
 * @param silence the time without received bytes after which a connection is closed
 * @param connectTimeout the time allowed to open a connection
 * @param minBackoff the shortest time between two connection attempts
 * @param maxBackoff the longest time between two connection attempts
 * @param idleTimeout the time after which an unused connection is closed, unless it is kept open
 * @param frameLimit the largest frame in bytes
 * @param writeLimit the most bytes in the write buffer before messages are rejected
 * @param pendingLimit the most requests to one peer that wait for a response
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

  /** Default options, for instances within a region. */
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

  /** Checks that the timeouts are in order and the limits are positive. */
  public PeerOptions {
    Checks.isTrue(probe.toMillis() > 0, "probe must be at least 1 ms");
    Checks.isTrue(
        silence.compareTo(probe.multipliedBy(2)) >= 0,
        "silence must be at least twice the probe time");
    Checks.isTrue(
        maxBackoff.compareTo(minBackoff) >= 0, "max backoff must not be shorter than min backoff");
    Checks.isTrue(frameLimit > 0 && writeLimit > 0, "limits must be positive");
    Checks.isTrue(pendingLimit > 0, "pending limit must be positive");
  }

  /** Returns these options with another probe time and another allowed silence. */
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

  /** Returns these options with another idle timeout. */
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

  /** Returns these options with another frame limit, and a write limit at least as large. */
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

package io.hawthornlb.gateway.wire;

import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits how long a connection to an address may be idle before reuse.
 *
 * <p>An endpoint may drop idle connections earlier than announced and without closing them. The
 * next request on such a connection is reset. After such a reset, a connection to that address is
 * reused only if it was idle for less than half of that idle time, until {@link #LIMIT_DURATION}
 * has passed.
 */
final class IdleLimits {

  /**
   * Lower bound of a limit. A reset after a shorter idle time is caused by a crash of the endpoint,
   * not by its idle timeout.
   */
  private static final Duration MIN_LIMIT = Duration.ofMillis(50);

  /**
   * Time within which a dropped connection resets a request; network links take 6 ms, a busy core
   * 50 ms. A request that is reset later has usually run.
   */
  private static final Duration IMMEDIATE_RESET = Duration.ofMillis(100);

  /**
   * Time after which a limit ends and longer idle times are allowed again; at most one request in
   * that time may be reset.
   */
  private static final Duration LIMIT_DURATION = Duration.ofSeconds(10);

  private final EventLoop loop;
  private final Map<SocketAddress, Duration> limits = new HashMap<>();

  IdleLimits(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Records that a connection was reset without a response when it was reused.
   *
   * @param idle time for which the connection was idle before
   * @param since time from the request to the reset
   */
  void resetAfter(SocketAddress address, Duration idle, Duration since) {
    if (since.compareTo(IMMEDIATE_RESET) > 0) {
      return;
    }
    Duration half = idle.dividedBy(2);
    Duration limit = half.compareTo(MIN_LIMIT) < 0 ? MIN_LIMIT : half;
    if (limit.compareTo(idle) < 0 && allows(address, limit)) {
      limits.put(address, limit);
      loop.schedule(
          () -> limits.remove(address, limit), LIMIT_DURATION.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Returns whether a connection may be reused after an idle time. */
  boolean allows(SocketAddress address, Duration idle) {
    Duration limit = limits.get(address);
    return limit == null || idle.compareTo(limit) < 0;
  }
}

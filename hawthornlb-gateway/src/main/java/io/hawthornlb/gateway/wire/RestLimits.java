package io.hawthornlb.gateway.wire;

import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * How long connections to an address may rest before they are used again.
 *
 * <p>Failure: an endpoint forgets connections that rest, sooner than it says and without a word. It
 * shows as a reset of whatever is sent next on one. Guard: after such a reset, connections to that
 * address are used again only after half of that rest, until a while has passed.
 */
final class RestLimits {

  /**
   * Shortest limit; a request that follows sooner meets a crash, and not a timeout of the endpoint.
   */
  private static final Duration LEAST = Duration.ofMillis(50);

  /**
   * Time within which a forgotten connection resets a request: links take 6 ms, a busy core 50. A
   * request that is reset later has run, as a rule.
   */
  private static final Duration AT_ONCE = Duration.ofMillis(100);

  /** Time after which longer rests are tried again; one request in that time may meet a reset. */
  private static final Duration HOLDS = Duration.ofSeconds(10);

  private final EventLoop loop;
  private final Map<SocketAddress, Duration> limits = new HashMap<>();

  RestLimits(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Notes that a connection was reset, without an answer, when it was used after a rest.
   *
   * @param since time from the request to the reset
   */
  void resetAfter(SocketAddress address, Duration rest, Duration since) {
    if (since.compareTo(AT_ONCE) > 0) {
      return;
    }
    Duration half = rest.dividedBy(2);
    Duration limit = half.compareTo(LEAST) < 0 ? LEAST : half;
    if (limit.compareTo(rest) < 0 && allows(address, limit)) {
      limits.put(address, limit);
      loop.schedule(() -> limits.remove(address, limit), HOLDS.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Returns whether a connection may be used again after a rest. */
  boolean allows(SocketAddress address, Duration rest) {
    Duration limit = limits.get(address);
    return limit == null || rest.compareTo(limit) < 0;
  }
}

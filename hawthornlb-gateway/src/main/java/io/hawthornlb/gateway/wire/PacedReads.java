package io.hawthornlb.gateway.wire;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Reads connections at a pace, several events at a time.
 *
 * <p>Load pattern: items of jobs run in all slots that online requests leave, and each of their
 * events wakes the process though nobody waits for it.
 */
final class PacedReads {

  /** Time between reads; the end of an answer, and with it a free slot, is seen so much later. */
  static final Duration EVERY = Duration.ofMillis(100);

  private final EventLoop loop;
  private final Set<Channel> channels = new LinkedHashSet<>();
  private boolean ticking;

  PacedReads(EventLoop loop) {
    this.loop = loop;
  }

  /** Reads a connection at the pace from now on. */
  void add(Channel channel) {
    channel.config().setAutoRead(false);
    channels.add(channel);
    tickSoon();
  }

  /** Reads a connection as its bytes come, if it was read at the pace. */
  void remove(Channel channel) {
    if (channels.remove(channel)) {
      channel.config().setAutoRead(true);
    }
  }

  private void tickSoon() {
    if (!ticking && !channels.isEmpty()) {
      ticking = true;
      loop.schedule(this::tick, EVERY.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void tick() {
    ticking = false;
    List.copyOf(channels).forEach(Channel::read);
    tickSoon();
  }
}

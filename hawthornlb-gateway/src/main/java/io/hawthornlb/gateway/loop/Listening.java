package io.hawthornlb.gateway.loop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;

/** Waits until a process listens on an address. */
public final class Listening {

  private Listening() {}

  /**
   * Returns the channel that listens.
   *
   * @param purpose what the address is for
   * @throws ListenException if the address cannot be used
   */
  public static Channel await(ChannelFuture bound, InetSocketAddress address, String purpose) {
    if (!bound.awaitUninterruptibly().isSuccess()) {
      throw new ListenException(address, purpose, bound.cause());
    }
    return bound.channel();
  }
}

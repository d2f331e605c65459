package io.hawthornlb.net.peer.support;

import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;

/** Is notified of the events of a link's channels, on the event loop of the link. */
interface LinkListener {

  /** Called when the channel is open and, with TLS, the handshake is done. */
  void connected(Channel from);

  /** Called when a frame has arrived. */
  void received(Channel from, PeerFrame frame);

  /** Called when the channel failed, was closed or became unresponsive. */
  void lost(@Nullable Channel from, String cause);
}

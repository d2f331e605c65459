package io.hawthornlb.net.peer.support;

import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;

/** Hears what happens on the channels of a link, on its event loop. */
interface LinkListener {

  /** The channel is open and, with TLS, the handshake is done. */
  void connected(Channel from);

  /** A frame arrived. */
  void received(Channel from, PeerFrame frame);

  /** The channel failed, ended or went silent. */
  void lost(@Nullable Channel from, String cause);
}

package io.hawthornlb.net.tls;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;

/** Secures connections between peers; each handler is made from the newest valid key files. */
public interface PeerSecurity {

  /** Returns whether peers prove who they are; if not, connections must stay on loopback. */
  boolean authenticates();

  /** Returns the TLS handler of a connection that a peer opened, or empty without TLS. */
  Optional<SslHandler> serverHandler(ByteBufAllocator allocator);

  /** Returns the TLS handler of a connection to a peer, or empty without TLS. */
  Optional<SslHandler> clientHandler(ByteBufAllocator allocator);
}

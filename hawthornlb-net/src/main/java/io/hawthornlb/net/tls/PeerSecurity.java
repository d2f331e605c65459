package io.hawthornlb.net.tls;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;

/** Secures connections between peers. Each new handler uses the latest valid key files. */
public interface PeerSecurity {

  /** Returns whether peers are authenticated. If not, connections must stay on loopback. */
  boolean authenticates();

  /** Returns the TLS handler of a connection that a peer opened, or empty without TLS. */
  Optional<SslHandler> serverHandler(ByteBufAllocator allocator);

  /** Returns the TLS handler of a connection to a peer, or empty without TLS. */
  Optional<SslHandler> clientHandler(ByteBufAllocator allocator);
}

package io.hawthornlb.net.tls.support;

import io.hawthornlb.net.tls.PeerSecurity;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.SslHandler;
import java.util.Optional;

/** Leaves connections without TLS, neither authenticated nor encrypted; for loopback only. */
public final class PlainPeerSecurity implements PeerSecurity {

  @Override
  public boolean authenticates() {
    return false;
  }

  @Override
  public Optional<SslHandler> serverHandler(ByteBufAllocator allocator) {
    return Optional.empty();
  }

  @Override
  public Optional<SslHandler> clientHandler(ByteBufAllocator allocator) {
    return Optional.empty();
  }
}

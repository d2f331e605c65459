package io.hawthornlb.net.peer;

import java.net.InetSocketAddress;

/** Takes connections of peers and hands their messages to handlers. */
public interface PeerServer extends AutoCloseable {

  /** Returns where the server listens. */
  InetSocketAddress address();

  /** Stops to listen and closes all connections. */
  @Override
  void close();
}

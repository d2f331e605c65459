package io.hawthornlb.net.peer;

import java.net.InetSocketAddress;

/** Accepts connections of peers and dispatches their messages to handlers. */
public interface PeerServer extends AutoCloseable {

  /** Returns the address on which the server listens. */
  InetSocketAddress address();

  /** Stops listening and closes all connections. */
  @Override
  void close();
}

package io.hawthornlb.net.peer.support;

/**
 * Events of a connection to a peer.
 *
 * <p>The state chart is {@code connection.yaml}.
 */
enum LinkEvent {
  /** A caller sends a message, or the connection is to be kept open. */
  USE,
  /** The connection is open and, with TLS, the handshake is done. */
  CONNECTED,
  /** The hello of the peer arrived, and the peer is the expected instance. */
  HELLO_RECEIVED,
  /** The connection failed, was closed or became unresponsive. */
  LOST,
  /** The connection was unused for the idle timeout and is not to be kept open. */
  UNUSED,
  /** The backoff before the next connection attempt has passed. */
  DUE,
  /** The peer is no longer listed, or this instance is shutting down. */
  REMOVED
}

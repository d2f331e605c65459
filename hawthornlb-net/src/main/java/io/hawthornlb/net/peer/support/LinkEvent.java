package io.hawthornlb.net.peer.support;

/** Events of the connection to a peer; see {@code connection.yaml}. */
enum LinkEvent {
  /** Somebody wants to use the connection. */
  USE,
  /** The connection is open and, with TLS, the handshake is done. */
  CONNECTED,
  /** The peer named itself and is the expected one. */
  GREETED,
  /** The connection failed, ended or went silent. */
  LOST,
  /** Nobody used the connection for long, and it need not be kept. */
  UNUSED,
  /** The time between two tries is over. */
  DUE,
  /** The peer is no longer wanted. */
  REMOVED
}

package io.hawthornlb.net.peer.support;

/**
 * States of the connection to a peer.
 *
 * <p>The state chart is {@code connection.yaml}.
 */
enum LinkState {
  /** There is no connection, and none is needed. */
  IDLE,
  /** The connection is being opened, including the TLS handshake. */
  CONNECTING,
  /** The connection is open, and this instance waits for the hello of the peer. */
  AWAITING_HELLO,
  /** The peer has identified itself, and messages can be sent. */
  READY,
  /** The connection failed, and the backoff before the next attempt runs. */
  WAITING,
  /** The peer was removed; no connection is opened any more. */
  CLOSED
}

package io.hawthornlb.net.peer.support;

/** States of the connection to a peer; see {@code connection.yaml}. */
enum LinkState {
  IDLE,
  CONNECTING,
  GREETING,
  READY,
  WAITING,
  CLOSED
}

package io.hawthornlb.net.peer.support;

/** What code does on transitions of the connection to a peer; see {@code connection.yaml}. */
enum LinkAction {
  /** Opens a new connection. */
  OPEN,
  /** Sends the hello. */
  GREET,
  /** Tells that the peer can be reached and starts backoff afresh. */
  ANNOUNCE,
  /** Writes the frames that waited for the connection. */
  FLUSH,
  /** Tells that the peer cannot be reached and fails all requests in progress. */
  FAIL_REQUESTS,
  /** Starts the time to the next try. */
  BACK_OFF,
  /** Looks again and again whether somebody still uses the connection. */
  WATCH_USE,
  /** Closes the connection. */
  DISCONNECT
}

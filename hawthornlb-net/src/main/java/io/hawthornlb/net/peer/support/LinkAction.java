package io.hawthornlb.net.peer.support;

/**
 * Actions that run on the transitions of a connection to a peer.
 *
 * <p>The state chart is {@code connection.yaml}.
 */
enum LinkAction {
  /** Opens a new connection. */
  OPEN,
  /** Sends the hello. */
  SEND_HELLO,
  /** Marks the peer as reachable and resets the backoff. */
  MARK_REACHABLE,
  /** Writes the frames that were queued until the connection was ready. */
  FLUSH,
  /** Marks the peer as unreachable and fails all requests in progress. */
  FAIL_REQUESTS,
  /** Schedules the next connection attempt after the backoff. */
  SCHEDULE_RECONNECT,
  /** Checks after each idle timeout whether the connection is still in use. */
  START_IDLE_CHECK,
  /** Closes the connection. */
  DISCONNECT
}

package io.hawthornlb.gateway.wire;

import java.util.Locale;

/** Why a connection to an endpoint was closed. */
enum ConnectionEnd {
  /** The connection was idle for as long as the endpoint allows. */
  RESTED,
  /** The connection was idle for longer than the endpoint was observed to keep connections. */
  FORGOTTEN,
  /** The endpoint closed the idle connection. */
  CLOSED_BY_ENDPOINT,
  /** The endpoint announced the close in its response. */
  ANNOUNCED,
  /** The request on the connection was aborted. */
  ABORTED,
  /** The answer was ended because of its size. */
  TOO_LONG,
  /** The connection failed, or received bytes that are no valid response. */
  BROKEN,
  /** The endpoint has left or has restarted. */
  ENDPOINT_GONE,
  /** The connection could not be opened. */
  NOT_OPENED;

  private final String label;

  ConnectionEnd() {
    label = name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  /** Returns the metric label of this reason. */
  String label() {
    return label;
  }
}

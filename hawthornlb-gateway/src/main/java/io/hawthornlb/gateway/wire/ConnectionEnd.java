package io.hawthornlb.gateway.wire;

import java.util.Locale;

/** Why a connection to an endpoint was closed. */
enum ConnectionEnd {
  /** It rested as long as the endpoint allows. */
  RESTED,
  /** It had rested longer than the endpoint was found to keep it. */
  FORGOTTEN,
  /** The endpoint closed it while it rested. */
  CLOSED_BY_ENDPOINT,
  /** The endpoint announced the close with its answer. */
  ANNOUNCED,
  /** The request on it was given up. */
  ABORTED,
  /** It broke, or brought what was no answer. */
  BROKEN,
  /** The endpoint has left or has started again. */
  ENDPOINT_GONE,
  /** No connection came about. */
  NOT_OPENED;

  private final String label;

  ConnectionEnd() {
    label = name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  /** Returns the label of its counter. */
  String label() {
    return label;
  }
}

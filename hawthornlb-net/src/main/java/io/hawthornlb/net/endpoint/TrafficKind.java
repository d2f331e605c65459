package io.hawthornlb.net.endpoint;

/** Separates the connections of online requests from those of batch items. */
public enum TrafficKind {
  /** Requests that somebody waits for. */
  ONLINE,
  /** Items of batch jobs. */
  BATCH,
  /** Reports, orders and probes. */
  CONTROL
}

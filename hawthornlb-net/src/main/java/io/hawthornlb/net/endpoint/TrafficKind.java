package io.hawthornlb.net.endpoint;

/** Kinds of traffic to endpoints, which use separate connections. */
public enum TrafficKind {
  /** Online requests, for which a caller is waiting. */
  ONLINE,
  /** Items of batch jobs. */
  BATCH,
  /** Load reports, commands and probes. */
  CONTROL
}

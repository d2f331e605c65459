package io.hawthornlb.gateway.slot;

/** Tells why a coordinator refused a request. */
public enum RefusalCause {
  /** The coordinator did not say, or its service is not contended. */
  UNKNOWN,
  /** By the work ahead of the request, its answer could not have begun in time. */
  EXPECTED_WAIT,
  /** The request waited for as long as it may. */
  WAITED,
  /** The workspace has more requests waiting than its share of the queue. */
  QUEUE_SHARE,
  /** The caller came back before the time that it was told. */
  EARLY_RETRY,
  /** The request crashed endpoints. */
  CRASHES,
  /** The request continues a stream, and no endpoint of its version is listed. */
  VERSION_GONE
}

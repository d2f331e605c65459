package io.hawthornlb.core.admission;

/**
 * Identifies a fleet-wide limit that entry instances share.
 *
 * @param kind kind of the limit
 * @param name name of the service or workspace that the limit applies to
 */
public record ShareKey(Kind kind, String name) {

  /** Kind of a limit. */
  public enum Kind {
    /** Number of requests of a service in progress. */
    SERVICE,
    /** Requests of a service per second. */
    SERVICE_RATE,
    /** Number of requests of a workspace in progress. */
    WORKSPACE,
    /** Requests of a workspace per second. */
    WORKSPACE_RATE
  }
}

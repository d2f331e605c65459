package io.hawthornlb.core.admission;

/**
 * Names one limit of the fleet that entries share.
 *
 * @param kind what is limited
 * @param name the service or workspace
 */
public record ShareKey(Kind kind, String name) {

  /** What is limited. */
  public enum Kind {
    /** Requests of a service in progress. */
    SERVICE,
    /** Requests of a service a second. */
    SERVICE_RATE,
    /** Requests of a workspace in progress. */
    WORKSPACE,
    /** Requests of a workspace a second. */
    WORKSPACE_RATE
  }
}

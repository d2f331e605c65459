package io.hawthornlb.gateway.endpoint;

import io.hawthornlb.core.util.Checks;

/**
 * One incarnation of an endpoint. An endpoint may restart under the same id and then has lost all
 * state of its former incarnation.
 *
 * @param id id of the endpoint
 * @param born Unix time of the start in milliseconds; {@link #UNKNOWN} if not reported
 */
public record EndpointIncarnation(String id, long born) {

  /** Start time that was not reported; any reported start is later. */
  public static final long UNKNOWN = -1;

  /** Checks the arguments. */
  public EndpointIncarnation {
    Checks.hasText(id, "id");
  }

  /** Returns the incarnation of an endpoint that did not report its start. */
  public static EndpointIncarnation ofUnknownStart(String id) {
    return new EndpointIncarnation(id, UNKNOWN);
  }

  /** Returns whether another incarnation of the same endpoint started before this one. */
  public boolean follows(EndpointIncarnation other) {
    return id.equals(other.id) && born > other.born;
  }

  // Written explicitly, as in other keys, because the generated methods of a record are linked at
  // run time, which takes some milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof EndpointIncarnation incarnation
        && born == incarnation.born
        && id.equals(incarnation.id);
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(born);
  }
}

package io.hawthornlb.gateway.endpoint;

import io.hawthornlb.core.util.Checks;

/**
 * One life of an endpoint: an endpoint may start again under its id, and then knows nothing of what
 * it was told before.
 *
 * @param id id of the endpoint
 * @param born Unix millisecond of the start; {@link #UNKNOWN} if nobody said
 */
public record EndpointLife(String id, long born) {

  /** Start that nobody said; any start that was said is later. */
  public static final long UNKNOWN = -1;

  /** Checks the arguments. */
  public EndpointLife {
    Checks.hasText(id, "id");
  }

  /** Returns the life of an endpoint that did not say when it started. */
  public static EndpointLife ofUnknownStart(String id) {
    return new EndpointLife(id, UNKNOWN);
  }

  /** Returns whether another life of the same endpoint began before this one. */
  public boolean follows(EndpointLife other) {
    return id.equals(other.id) && born > other.born;
  }

  // Written out, as in other keys: the generated ones are linked at run time, in some milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof EndpointLife life && born == life.born && id.equals(life.id);
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(born);
  }
}

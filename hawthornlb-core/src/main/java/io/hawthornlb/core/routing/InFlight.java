package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.util.Checks;

/**
 * Requests of one entry that are in flight at one endpoint.
 *
 * @param endpoint the endpoint
 * @param count how many
 */
public record InFlight(EndpointId endpoint, int count) {

  /** Checks that the count is not negative. */
  public InFlight {
    Checks.notNegative(count, "count");
  }
}

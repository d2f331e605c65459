package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.util.Checks;

/**
 * Number of requests of one entry instance that are in flight at one endpoint.
 *
 * @param endpoint id of the endpoint
 * @param count number of requests
 */
public record InFlight(EndpointId endpoint, int count) {

  /** Checks that the count is not negative. */
  public InFlight {
    Checks.notNegative(count, "count");
  }
}

package io.hawthornlb.gateway.route;

import io.hawthornlb.core.util.Checks;

/**
 * Share of a route's requests that one service gets.
 *
 * @param service name of the service
 * @param weight weight relative to the route's other services
 */
public record ServiceShare(String service, double weight) {

  /** Checks the arguments. */
  public ServiceShare {
    Checks.hasText(service, "service");
    Checks.isTrue(weight >= 0, "weight must not be negative");
  }
}

package io.hawthornlb.core.routing.support;

import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.routing.Route;
import io.hawthornlb.core.routing.RouteRequest;
import io.hawthornlb.core.routing.Router;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;

/**
 * Simple router that uses the endpoints of a service in turn.
 *
 * <p>It is the reference implementation in differential tests and the baseline of measurements.
 */
public final class RoundRobinRouter implements Router {

  private final EndpointTable endpoints;
  private int next;

  /** Creates a router for the endpoints of a table. */
  public RoundRobinRouter(EndpointTable endpoints) {
    this.endpoints = endpoints;
  }

  @Override
  public Either<Refusal, Route> choose(RouteRequest request, Instant now) {
    List<Endpoint> candidates = endpoints.of(request.service());
    for (int attempts = 0; attempts < candidates.size(); attempts++) {
      Endpoint endpoint = candidates.get(Math.floorMod(next++, candidates.size()));
      if (endpoint.accepts(now) && !request.excluded().contains(endpoint.id())) {
        return Either.right(new Route(endpoint.id(), endpoint.address(), endpoint.dataCentre(), 0));
      }
    }
    return Either.left(
        Refusal.notRun(RefusalReason.NO_ENDPOINT, "no endpoint of the service takes requests"));
  }
}

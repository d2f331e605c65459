package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.Refusal;
import io.vavr.control.Either;
import java.time.Instant;

/** Chooses an endpoint for each request. Implementations are confined to one thread. */
public interface Router {

  /** Returns the route of a request, or a refusal if no endpoint can accept the request. */
  Either<Refusal, Route> choose(RouteRequest request, Instant now);
}

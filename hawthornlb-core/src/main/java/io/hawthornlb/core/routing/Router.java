package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.Refusal;
import io.vavr.control.Either;
import java.time.Instant;

/** Chooses an endpoint for each request; confined to one thread. */
public interface Router {

  /** Returns where the request goes, or the refusal when no endpoint can take it. */
  Either<Refusal, Route> choose(RouteRequest request, Instant now);
}

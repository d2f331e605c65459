package io.hawthornlb.gateway.front;

import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.core.workspace.WorkspaceRegistry;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.wire.HeaderNames;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Finds the route and the workspace of a request in one version of the configuration. */
final class RequestResolver {

  private final HeaderNames names;
  private final Predicate<FrontRequest> namesJob;

  /** Result of the search. */
  sealed interface Resolution {}

  /**
   * The request is to be forwarded on a route.
   *
   * @param request the request with its workspace; {@link ForwardedHeaders} removes the key
   */
  record Forward(Route route, FrontRequest request) implements Resolution {}

  /**
   * The request is about a job.
   *
   * @param request the request without its key
   */
  record AboutJob(FrontRequest request) implements Resolution {}

  /** The configuration does not allow the request. */
  record Rejected(int status, String cause) implements Resolution {

    static final Rejected NO_ROUTE = new Rejected(404, "no route");
    static final Rejected UNKNOWN_KEY = new Rejected(401, "unknown key");
  }

  /**
   * Creates a resolver.
   *
   * @param namesJob returns whether a request concerns a job that was accepted earlier
   */
  RequestResolver(HeaderNames names, Predicate<FrontRequest> namesJob) {
    this.names = names;
    this.namesJob = namesJob;
  }

  /** Resolves a request. */
  Resolution resolve(RoutingConfig config, FrontRequest request) {
    Optional<Route> matched = config.match(request.host(), request.path());
    Optional<Route> route =
        matched.isPresent() || !namesJob.test(request) ? matched : config.jobRoute(request.host());
    if (route.isEmpty()) {
      return Rejected.NO_ROUTE;
    }
    Optional<WorkspaceRegistry> workspaces = config.workspaces();
    Optional<Workspace> holder = workspaces.flatMap(registry -> holder(registry, request));
    if (holder.isEmpty() && workspaces.isPresent() && !route.get().anonymous()) {
      return Rejected.UNKNOWN_KEY;
    }
    Workspace workspace = holder.orElse(null);
    return route.get().kind() == RouteKind.JOB
        ? new AboutJob(request.authenticated(workspace, names))
        : new Forward(route.get(), request.withWorkspace(workspace));
  }

  /**
   * Returns whether the request has a key that a workspace holds, or the configuration has none.
   */
  boolean keyKnown(RoutingConfig config, FrontRequest request) {
    return config.workspaces().map(registry -> holder(registry, request).isPresent()).orElse(true);
  }

  /** Returns the holder of the only key of a request. A request with several keys has no holder. */
  private Optional<Workspace> holder(WorkspaceRegistry registry, FrontRequest request) {
    List<String> keys = request.headers().getAll(names.apiKey());
    return keys.size() == 1 ? registry.findByKey(keys.get(0).trim()) : Optional.empty();
  }
}

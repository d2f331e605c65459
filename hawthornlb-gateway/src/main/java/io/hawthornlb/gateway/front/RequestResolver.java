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
import org.jspecify.annotations.Nullable;

/**
 * Finds the route and the workspace of a request in one version of the configuration.
 *
 * <p>A configuration says where requests may go, and nothing of jobs that were accepted before it.
 * A request about such a job therefore needs no route: whether the job exists is for the log of
 * jobs to say, and whether the caller may know of it follows from the caller's key.
 */
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
   * @param stranger whether the caller has no key that a workspace holds, and no route says that it
   *     needs none; it can have a job only if an earlier route needed no key
   */
  record AboutJob(FrontRequest request, boolean stranger) implements Resolution {}

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
    if (matched.isEmpty()) {
      return namesJob.test(request) ? resolveJob(config, request) : Rejected.NO_ROUTE;
    }
    Optional<WorkspaceRegistry> workspaces = config.workspaces();
    Optional<Workspace> holder = workspaces.flatMap(registry -> holder(registry, request));
    if (holder.isEmpty() && workspaces.isPresent() && !matched.get().anonymous()) {
      return Rejected.UNKNOWN_KEY;
    }
    Workspace workspace = holder.orElse(null);
    return matched.get().kind() == RouteKind.JOB
        ? new AboutJob(request.authenticated(workspace, names), false)
        : new Forward(matched.get(), request.withWorkspace(workspace));
  }

  /** Resolves a request about a job that was accepted earlier, with or without a route by now. */
  Resolution resolveJob(RoutingConfig config, FrontRequest request) {
    Optional<WorkspaceRegistry> workspaces = config.workspaces();
    if (workspaces.isEmpty()) {
      return aboutJob(request, null, false);
    }
    Optional<Workspace> holder = holder(workspaces.get(), request);
    if (holder.isPresent()) {
      return aboutJob(request, holder.get(), false);
    }
    List<Route> routes = config.jobRoutes(request.host());
    if (routes.isEmpty()) {
      return aboutJob(request, null, true);
    }
    return routes.stream().anyMatch(Route::anonymous)
        ? aboutJob(request, null, false)
        : Rejected.UNKNOWN_KEY;
  }

  private AboutJob aboutJob(FrontRequest request, @Nullable Workspace holder, boolean stranger) {
    return new AboutJob(request.authenticated(holder, names), stranger);
  }

  /**
   * Returns whether the request has a key that a workspace holds, or the configuration has none.
   */
  boolean keyKnown(RoutingConfig config, FrontRequest request) {
    return config.workspaces().map(registry -> holder(registry, request).isPresent()).orElse(true);
  }

  /**
   * Returns whether the caller names a key that the configuration does not know. A later version
   * may know it: the request would run without the workspace that holds the key.
   */
  boolean namesUnknownKey(RoutingConfig config, FrontRequest request) {
    return request.headers().contains(names.apiKey()) && !keyKnown(config, request);
  }

  /** Returns the holder of the only key of a request. A request with several keys has no holder. */
  private Optional<Workspace> holder(WorkspaceRegistry registry, FrontRequest request) {
    List<String> keys = request.headers().getAll(names.apiKey());
    return keys.size() == 1 ? registry.findByKey(keys.get(0).trim()) : Optional.empty();
  }
}

package io.hawthornlb.gateway.route;

import io.hawthornlb.core.workspace.WorkspaceRegistry;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** One version of the configuration: routes, limits and workspaces. */
public final class RoutingConfig {

  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final CallerLimits limits;
  private final Set<String> services;
  private final @Nullable WorkspaceRegistry workspaces;

  /** Creates a configuration without workspaces. */
  public RoutingConfig(long version, Collection<Route> routes, CallerLimits limits) {
    this(version, routes, limits, null);
  }

  /**
   * Creates a configuration.
   *
   * @param workspaces the workspaces; null if requests need no API key
   */
  public RoutingConfig(
      long version,
      Collection<Route> routes,
      CallerLimits limits,
      @Nullable WorkspaceRegistry workspaces) {
    this.version = version;
    this.limits = limits;
    this.workspaces = workspaces;
    this.routesByHost = byHost(routes);
    this.services =
        routes.stream()
            .flatMap(route -> route.services().stream())
            .map(ServiceShare::service)
            .collect(Collectors.toUnmodifiableSet());
  }

  private RoutingConfig(RoutingConfig other) {
    this.version = other.version;
    this.limits = other.limits;
    this.workspaces = null;
    this.routesByHost = other.routesByHost;
    this.services = other.services;
  }

  /** Returns a configuration with the same routes and no workspaces. */
  RoutingConfig withoutWorkspaces() {
    return new RoutingConfig(this);
  }

  /** Returns whether another configuration has equal routes. */
  boolean hasSameRoutes(RoutingConfig other) {
    return routesByHost.equals(other.routesByHost);
  }

  /** Returns the version; a higher one replaces a lower one. */
  public long version() {
    return version;
  }

  /** Returns the limits for callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the names of all routes. */
  public Set<String> routeNames() {
    return routesByHost.values().stream()
        .flatMap(List::stream)
        .map(Route::name)
        .collect(Collectors.toSet());
  }

  /** Returns the names of all services that routes use. */
  public Set<String> services() {
    return services;
  }

  /** Returns the workspaces; empty if requests need no API key. */
  public Optional<WorkspaceRegistry> workspaces() {
    return Optional.ofNullable(workspaces);
  }

  /** Returns the route of the host with the longest prefix that matches the path. */
  public Optional<Route> match(String host, String path) {
    List<Route> routes = routesByHost.getOrDefault(withoutPort(host), List.of());
    return routes.stream().filter(route -> path.startsWith(route.pathPrefix())).findFirst();
  }

  /** Returns the job route on which an item with a path runs. */
  public Optional<Route> matchItem(String host, String path) {
    return match(host, path).filter(route -> route.kind() == RouteKind.JOB);
  }

  /** Returns all job routes of a host. */
  public List<Route> jobRoutes(String host) {
    List<Route> routes = routesByHost.getOrDefault(withoutPort(host), List.of());
    return routes.stream().filter(route -> route.kind() == RouteKind.JOB).toList();
  }

  private static Map<String, List<Route>> byHost(Collection<Route> routes) {
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    return routes.stream()
        .sorted(longestFirst)
        .collect(Collectors.groupingBy(route -> withoutPort(route.host())));
  }

  private static String withoutPort(String host) {
    int port = host.lastIndexOf(':');
    String name = port < 0 ? host : host.substring(0, port);
    return name.toLowerCase(Locale.ROOT);
  }
}

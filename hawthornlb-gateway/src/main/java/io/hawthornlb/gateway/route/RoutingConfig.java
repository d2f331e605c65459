package io.hawthornlb.gateway.route;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** Configuration of one version: routes and limits. */
public final class RoutingConfig {

  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final CallerLimits limits;

  /** Creates a configuration. */
  public RoutingConfig(long version, Collection<Route> routes, CallerLimits limits) {
    this.version = version;
    this.limits = limits;
    this.routesByHost = byHost(routes);
  }

  /** Returns the version; a higher one replaces a lower one. */
  public long version() {
    return version;
  }

  /** Returns the bounds on what callers send. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the route whose prefix is the longest that begins a path. */
  public Optional<Route> match(String host, String path) {
    List<Route> routes = routesByHost.getOrDefault(bare(host), List.of());
    return routes.stream().filter(route -> path.startsWith(route.pathPrefix())).findFirst();
  }

  /** Returns the first route of a host that takes jobs. */
  public Optional<Route> jobRoute(String host) {
    List<Route> routes = routesByHost.getOrDefault(bare(host), List.of());
    return routes.stream().filter(route -> route.kind() == RouteKind.JOB).findFirst();
  }

  private static Map<String, List<Route>> byHost(Collection<Route> routes) {
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    return routes.stream()
        .sorted(longestFirst)
        .collect(Collectors.groupingBy(route -> bare(route.host())));
  }

  private static String bare(String host) {
    int port = host.lastIndexOf(':');
    String name = port < 0 ? host : host.substring(0, port);
    return name.toLowerCase(Locale.ROOT);
  }
}

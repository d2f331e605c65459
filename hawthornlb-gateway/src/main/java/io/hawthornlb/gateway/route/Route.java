package io.hawthornlb.gateway.route;

import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A route of a configuration.
 *
 * @param name name of the route
 * @param host host name that its requests contain
 * @param pathPrefix prefix of its requests' paths; ends with a slash
 * @param kind kind of the route, which determines whether its requests may be repeated
 * @param timeout longest time until a request is answered
 * @param objective target time for a response
 * @param priority priority among the routes; 0 is the most urgent
 * @param services services that run its requests
 * @param maxAttempts number of endpoints on which one request may run
 * @param resumable whether a stream may be resumed at another endpoint
 * @param anonymous whether its requests need no API key
 * @param completion time after which all results of a job are due; jobs only
 * @param retention time after which an item of a job may be abandoned; jobs only
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    Duration timeout,
    Duration objective,
    int priority,
    List<ServiceShare> services,
    int maxAttempts,
    boolean resumable,
    boolean anonymous,
    @Nullable Duration completion,
    @Nullable Duration retention) {

  /** Checks the arguments. */
  public Route {
    Checks.hasText(host, "host");
    Checks.hasText(pathPrefix, "pathPrefix");
    Checks.notEmpty(services, "services");
    services = List.copyOf(services);
  }

  /** Creates a route whose requests need an API key if the configuration has workspaces. */
  public Route(
      String name,
      String host,
      String pathPrefix,
      RouteKind kind,
      Duration timeout,
      Duration objective,
      int priority,
      List<ServiceShare> services,
      int maxAttempts,
      boolean resumable,
      @Nullable Duration completion,
      @Nullable Duration retention) {
    this(
        name,
        host,
        pathPrefix,
        kind,
        timeout,
        objective,
        priority,
        services,
        maxAttempts,
        resumable,
        false,
        completion,
        retention);
  }

  /**
   * Selects the service of a request according to the weights.
   *
   * @param draw random number from 0 (inclusive) to 1 (exclusive)
   */
  public String service(double draw) {
    double total = services.stream().mapToDouble(ServiceShare::weight).sum();
    double rest = draw * total;
    for (ServiceShare share : services) {
      rest -= share.weight();
      if (rest < 0) {
        return share.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}

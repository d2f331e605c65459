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

  /**
   * Returns a builder of a route whose requests run once and need an API key if the configuration
   * has workspaces.
   *
   * @param host host name that its requests contain
   * @param pathPrefix prefix of its requests' paths; ends with a slash
   */
  public static Builder builder(String host, String pathPrefix) {
    return new Builder(host, pathPrefix);
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

  /** Builds a route. */
  public static final class Builder {

    private final String host;
    private final String pathPrefix;
    private String name = "";
    private RouteKind kind = RouteKind.ONCE;
    private Duration timeout = Duration.ofSeconds(30);
    private Duration objective = Duration.ofSeconds(1);
    private int priority = 0;
    private List<ServiceShare> services = List.of();
    private int maxAttempts = 1;
    private boolean resumable = false;
    private boolean anonymous = false;
    private @Nullable Duration completion;
    private @Nullable Duration retention;

    private Builder(String host, String pathPrefix) {
      this.host = host;
      this.pathPrefix = pathPrefix;
    }

    /** Sets the name. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets the kind, which determines whether requests may be repeated. */
    public Builder kind(RouteKind value) {
      kind = value;
      return this;
    }

    /** Sets the longest time until a request is answered. */
    public Builder timeout(Duration value) {
      timeout = value;
      return this;
    }

    /** Sets the target time for a response. */
    public Builder objective(Duration value) {
      objective = value;
      return this;
    }

    /** Sets the priority; 0 is the most urgent. */
    public Builder priority(int value) {
      priority = value;
      return this;
    }

    /** Sets the services that run the requests; at least one is required. */
    public Builder services(List<ServiceShare> value) {
      services = value;
      return this;
    }

    /** Sets the number of endpoints on which one request may run. */
    public Builder maxAttempts(int value) {
      maxAttempts = value;
      return this;
    }

    /** Sets whether a stream may be resumed at another endpoint. */
    public Builder resumable(boolean value) {
      resumable = value;
      return this;
    }

    /** Sets whether requests need no API key. */
    public Builder anonymous(boolean value) {
      anonymous = value;
      return this;
    }

    /** Sets the time after which all results of a job are due. */
    public Builder completion(@Nullable Duration value) {
      completion = value;
      return this;
    }

    /** Sets the time after which an item of a job may be abandoned. */
    public Builder retention(@Nullable Duration value) {
      retention = value;
      return this;
    }

    /** Returns the route. */
    public Route build() {
      return new Route(
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
          anonymous,
          completion,
          retention);
    }
  }
}

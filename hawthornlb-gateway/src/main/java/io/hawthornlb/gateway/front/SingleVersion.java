package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.endpoint.VersionHistory;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteHistory;
import io.hawthornlb.gateway.route.ServiceShare;
import io.hawthornlb.gateway.stream.StreamOrigin;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Shows what must have begun a stream of a route, whichever stream it is: requests for its path
 * have led to one service, which had one version for longer than a stream lasts.
 *
 * <p>That holds only if no change of the list of endpoints is missing, so the list is read again if
 * it was last read before the caller's request came.
 */
public final class SingleVersion {

  /**
   * Time that a stream may last over all attempts of its caller, as a multiple of the longest
   * timeout that its path has had: a caller repeats three times, so that three attempts of one
   * timeout each and the pauses between them may precede the last one.
   */
  private static final int LIFE_TIMEOUTS = 4;

  private final VersionHistory history;
  private final RouteHistory routes;
  private final ConfigFreshness list;
  private final InstantSource clock;

  /**
   * Creates a proof.
   *
   * @param list determines whether the list of endpoints was read since a moment
   */
  public SingleVersion(
      VersionHistory history, RouteHistory routes, ConfigFreshness list, InstantSource clock) {
    this.history = history;
    this.routes = routes;
    this.list = list;
    this.clock = clock;
  }

  /**
   * A request that resumes a stream.
   *
   * @param route route that it has now
   * @param host host that it names
   * @param path path that it names
   * @param arrived when it arrived
   */
  record Resumption(Route route, String host, String path, Instant arrived) {}

  /**
   * The only origin that a stream can have.
   *
   * @param origin the origin; empty if it cannot be shown
   * @param reason why it is shown, or why not
   */
  record Shown(Optional<StreamOrigin> origin, String reason) {

    private static Shown nothing(String reason) {
      return new Shown(Optional.empty(), reason);
    }
  }

  /**
   * Finds the only origin that a stream can have.
   *
   * @param receiver called at once or after the list was read
   */
  void find(Resumption request, Consumer<Shown> receiver) {
    Shown only = only(request);
    Instant arrived = request.arrived();
    if (only.origin().isEmpty() || list.isCurrentAt(arrived)) {
      receiver.accept(only);
    } else {
      list.refreshFor(
          arrived,
          () ->
              receiver.accept(
                  list.isCurrentAt(arrived)
                      ? only(request)
                      : Shown.nothing("the list of endpoints may be old")));
    }
  }

  private Shown only(Resumption request) {
    Instant now = clock.instant();
    Duration longest = request.route().timeout();
    for (Route each : former(request, now.minus(RouteHistory.KEPT))) {
      longest = each.timeout().compareTo(longest) > 0 ? each.timeout() : longest;
    }
    Duration life = longest.multipliedBy(LIFE_TIMEOUTS);
    if (!routes.isKnownSince(now.minus(life))) {
      return Shown.nothing("former routes are not known for long enough");
    }
    Set<String> services = new HashSet<>();
    addServices(services, request.route());
    former(request, now.minus(life)).forEach(each -> addServices(services, each));
    if (services.size() != 1) {
      return Shown.nothing("several services may have begun it");
    }
    String service = services.iterator().next();
    VersionHistory.Evidence evidence = history.onlyVersion(service, life);
    Optional<StreamOrigin> origin =
        Optional.ofNullable(evidence.version()).map(each -> new StreamOrigin(service, each));
    return new Shown(origin, evidence.reason());
  }

  private List<Route> former(Resumption request, Instant since) {
    return routes.formerRoutes(request.host(), request.path(), since);
  }

  private static void addServices(Set<String> services, Route route) {
    for (ServiceShare each : route.services()) {
      services.add(each.service());
    }
  }
}

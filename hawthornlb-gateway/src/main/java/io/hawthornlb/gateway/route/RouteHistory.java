package io.hawthornlb.gateway.route;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The routes that earlier configurations had, for work that began under them and goes on. Known
 * from the first configuration on that this process has read.
 */
public final class RouteHistory {

  /** Time for which former routes are remembered. */
  public static final Duration KEPT = Duration.ofMinutes(20);

  /** Maximum number of former configurations; of a large fleet, each has some hundred routes. */
  static final int MAX_FORMER = 64;

  /** A former configuration and the time until which it was in force. */
  private record Former(RoutingConfig config, Instant until) {}

  private final InstantSource clock;
  private final Deque<Former> formers = new ArrayDeque<>();
  private @Nullable RoutingConfig current;
  private Instant knownSince = Instant.MAX;
  private Instant forgottenUntil = Instant.MIN;

  /** Creates a history that follows the changes of the configuration. */
  public RouteHistory(ConfigHolder config, InstantSource clock) {
    this.clock = clock;
    config.onChange(this::onChange);
  }

  /** Returns whether all routes are known that were in force since a moment or long before. */
  public boolean isKnownSince(Instant moment) {
    return !knownSince.isAfter(moment) && !clock.instant().isBefore(forgottenUntil);
  }

  /** Returns the former routes of requests for a path that were in force at a moment or later. */
  public List<Route> formerRoutes(String host, String path, Instant since) {
    List<Route> routes = new ArrayList<>();
    for (Former each : formers) {
      if (!each.until().isBefore(since)) {
        each.config().match(host, path).ifPresent(routes::add);
      }
    }
    return routes;
  }

  private void onChange(RoutingConfig next) {
    Instant now = clock.instant();
    RoutingConfig former = current;
    current = next;
    if (former == null) {
      knownSince = now;
    } else if (!former.hasSameRoutes(next)) {
      formers.addLast(new Former(former.withoutWorkspaces(), now));
    }
    while (!formers.isEmpty() && isForgotten(formers.getFirst(), now)) {
      forgottenUntil = formers.removeFirst().until().plus(KEPT);
    }
  }

  private boolean isForgotten(Former oldest, Instant now) {
    return formers.size() > MAX_FORMER || oldest.until().isBefore(now.minus(KEPT));
  }
}

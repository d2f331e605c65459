package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.endpoint.VersionHistory;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.stream.StreamOrigin;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Shows what must have begun a stream of a route, whichever stream it is: the route leads to one
 * service, which had one version for longer than a stream lasts.
 *
 * <p>That holds only if no change of the list of endpoints is missing, so the list is read again if
 * it was last read before the caller's request came.
 */
public final class SingleVersion {

  /**
   * Time that a stream may last over all attempts of its caller, as a multiple of the route's
   * timeout; a caller does not wait longer than one timeout.
   */
  private static final int LIFE_TIMEOUTS = 2;

  private final VersionHistory history;
  private final ConfigFreshness list;

  /**
   * Creates a proof.
   *
   * @param list determines whether the list of endpoints was read since a moment
   */
  public SingleVersion(VersionHistory history, ConfigFreshness list) {
    this.history = history;
    this.list = list;
  }

  /**
   * Finds the only origin that a stream of the route can have.
   *
   * @param arrived when the request that resumes the stream arrived
   * @param receiver called at once or after the list was read; empty if the origin cannot be shown
   */
  void find(Route route, Instant arrived, Consumer<Optional<StreamOrigin>> receiver) {
    Optional<StreamOrigin> only = only(route);
    if (only.isEmpty() || list.isCurrentAt(arrived)) {
      receiver.accept(only);
    } else {
      list.refreshFor(
          arrived,
          () -> receiver.accept(list.isCurrentAt(arrived) ? only(route) : Optional.empty()));
    }
  }

  private Optional<StreamOrigin> only(Route route) {
    if (route.services().size() != 1) {
      return Optional.empty();
    }
    String service = route.services().get(0).service();
    return history
        .onlyVersion(service, route.timeout().multipliedBy(LIFE_TIMEOUTS))
        .map(version -> new StreamOrigin(service, version));
  }
}

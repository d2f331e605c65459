package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.Route;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** The route of one item: where the item may run and when it is due. */
final class ItemRoute {

  /** Time within which items are due if their route names none or was never known. */
  private static final Duration DEFAULT_COMPLETION = Duration.ofSeconds(60);

  private final ConfigHolder config;
  private final Job job;
  private final JobItem item;
  private Duration completion = DEFAULT_COMPLETION;

  ItemRoute(ConfigHolder config, Job job, JobItem item) {
    this.config = config;
    this.job = job;
    this.item = item;
    find();
  }

  /** Returns the route; empty if the configuration has none for the item at present. */
  Optional<Route> find() {
    Optional<Route> found =
        config.current().flatMap(current -> current.matchItem(job.host(), item.path()));
    found.ifPresent(this::useDueTime);
    return found;
  }

  /** Returns the number of failed attempts after which the item is given up. */
  int maxAttempts() {
    // A later configuration may have the route again and may allow more attempts.
    return find().map(Route::maxAttempts).orElse(Integer.MAX_VALUE);
  }

  /** Returns whether the item may run at endpoints of a service. */
  boolean leadsTo(String service) {
    return find().filter(route -> route.service(0).equals(service)).isPresent();
  }

  /**
   * Returns when the item is due by the newest configuration that has its route. The order of the
   * items does not change while the route is missing.
   */
  Instant due() {
    return job.accepted().plus(completion);
  }

  private void useDueTime(Route route) {
    Duration ofRoute = route.completion();
    completion = ofRoute == null ? DEFAULT_COMPLETION : ofRoute;
  }
}

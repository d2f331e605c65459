package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RoutingConfig;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which items of a partition are given up without another attempt: those whose route was
 * removed for good, and those whose job is older than the retention of its route.
 */
final class ItemExpiry {

  private static final long NO_VERSION = -1;

  private final JobParts parts;
  private final JobAges ages;
  private final RouteAbsences absences = new RouteAbsences();
  private long checkedVersion = NO_VERSION;

  /**
   * Creates an expiry that knows no items.
   *
   * @param ages ages of the partition's jobs
   */
  ItemExpiry(JobParts parts, JobAges ages) {
    this.parts = parts;
    this.ages = ages;
  }

  /** Takes note of the route of an item that has begun to wait. */
  void added(String key, ItemRun run) {
    absences.update(key, run.route().find().isPresent(), parts.clock().instant());
  }

  /** Forgets all items but the given ones. */
  void retain(Set<String> keys) {
    absences.retain(keys);
  }

  /**
   * Returns whether items may have lost their route: the configuration has changed since the last
   * call, or some items have none.
   */
  boolean routesInDoubt() {
    long version = parts.config().current().map(RoutingConfig::version).orElse(NO_VERSION);
    boolean changed = version != checkedVersion;
    checkedVersion = version;
    return changed || !absences.isEmpty();
  }

  /**
   * Returns why an item is given up; empty if it is not. An item without a route on which an
   * endpoint still works may complete.
   */
  Optional<String> cause(String key, ItemRun run) {
    if (!run.running()) {
      return Optional.empty();
    }
    Instant now = parts.clock().instant();
    Optional<Route> route = run.route().find();
    absences.update(key, route.isPresent(), now);
    if (route.isEmpty()) {
      boolean over = absences.over(key, now, parts.configFreshness().freshAsOf());
      return over && !run.executing() ? Optional.of("route removed") : Optional.empty();
    }
    return route
        .map(Route::retention)
        .filter(retention -> ages.olderThan(run.job(), retention))
        .map(expired -> "retention over");
  }
}

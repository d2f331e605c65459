package io.hawthornlb.core.routing.support;

import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.routing.PrefixIndex;
import io.hawthornlb.core.routing.Route;
import io.hawthornlb.core.routing.RouteRequest;
import io.hawthornlb.core.routing.Router;
import io.hawthornlb.core.routing.RouterSettings;
import io.hawthornlb.core.routing.RouterTerm;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Router that compares a few endpoints by the time that a request would probably take there.
 *
 * <p>Small services are looked at whole. Of large ones it looks at the probable holders of the
 * prompt's prefix and at a few drawn at random, so that a decision costs the same at any size.
 */
public final class CostRouter implements Router {

  private static final Duration COME_BACK_AFTER = Duration.ofSeconds(1);

  private final EndpointTable endpoints;
  private final PrefixIndex prefixes;
  private final EndpointCost cost;
  private final RouterSettings settings;
  private final RandomGenerator random;

  /** Creates a router. */
  public CostRouter(
      EndpointTable endpoints,
      PrefixIndex prefixes,
      EndpointCost cost,
      RouterSettings settings,
      RandomGenerator random) {
    this.endpoints = endpoints;
    this.prefixes = prefixes;
    this.cost = cost;
    this.settings = settings;
    this.random = random;
  }

  @Override
  public Either<Refusal, Route> choose(RouteRequest request, Instant now) {
    List<Endpoint> all = endpoints.of(request.service());
    Set<DataCentre> doubtful = doubtful(request);
    Route best = best(candidates(request, all, now), doubtful, request, now);
    if (best == null && all.size() > settings.scanAtMost()) {
      best = best(all, doubtful, request, now);
    }
    return best == null ? Either.left(noEndpoint()) : Either.right(best);
  }

  private @Nullable Route best(
      List<Endpoint> candidates, Set<DataCentre> doubtful, RouteRequest request, Instant now) {
    Endpoint best = null;
    double least = Double.MAX_VALUE;
    int offset = candidates.isEmpty() ? 0 : random.nextInt(candidates.size());
    for (int i = 0; i < candidates.size(); i++) {
      Endpoint endpoint = candidates.get((i + offset) % candidates.size());
      if (!endpoint.accepts(now) || request.excluded().contains(endpoint.id())) {
        continue;
      }
      double millis = cost.millis(endpoint, request, now);
      millis += doubtful.contains(endpoint.dataCentre()) ? settings.doubtMillis() : 0;
      if (millis < least) {
        least = millis;
        best = endpoint;
      }
    }
    return best == null ? null : new Route(best.id(), best.address(), best.dataCentre(), least);
  }

  /** Returns the other data centres where this request has failed. */
  private Set<DataCentre> doubtful(RouteRequest request) {
    if (request.excluded().isEmpty()) {
      return Set.of();
    }
    // In a cut all endpoints of the other side fail. A request that tries one after the other has
    // used up its attempts before the table knows; the second one stays where it can be reached.
    Set<DataCentre> doubtful = new HashSet<>();
    for (EndpointId failed : request.excluded()) {
      endpoints.find(failed).map(Endpoint::dataCentre).ifPresent(doubtful::add);
    }
    if (doubtful.stream().anyMatch(place -> !place.equals(request.origin()))) {
      endpoints.of(request.service()).forEach(each -> doubtful.add(each.dataCentre()));
    }
    doubtful.remove(request.origin());
    return doubtful;
  }

  private List<Endpoint> candidates(RouteRequest request, List<Endpoint> all, Instant now) {
    if (all.size() <= settings.scanAtMost()) {
      return all;
    }
    List<Endpoint> near = endpoints.of(request.service(), request.origin());
    List<Endpoint> chosen = new ArrayList<>();
    draw(near, settings.samples(), chosen);
    draw(all, near.isEmpty() ? settings.samples() : 2, chosen);
    if (settings.terms().contains(RouterTerm.PREFIX)) {
      addHolders(request, near.isEmpty() ? all : near, chosen, now);
    }
    return chosen;
  }

  private void draw(List<Endpoint> from, int count, List<Endpoint> into) {
    if (from.size() <= count) {
      into.addAll(from);
      return;
    }
    for (int i = 0; i < count; i++) {
      into.add(from.get(random.nextInt(from.size())));
    }
  }

  private void addHolders(
      RouteRequest request, List<Endpoint> near, List<Endpoint> chosen, Instant now) {
    for (int i = request.prefixes().size() - 1; i >= 0; i--) {
      int before = chosen.size();
      for (EndpointId holder : prefixes.holders(request.prefixes().get(i), now)) {
        endpoints.find(holder).ifPresent(chosen::add);
      }
      if (chosen.size() > before) {
        return;
      }
    }
    if (!request.prefixes().isEmpty()) {
      // Entries that meet a new prefix at the same time agree on where it goes before any event.
      int home = Math.floorMod(request.prefixes().get(0).hashCode(), near.size());
      chosen.add(near.get(home));
    }
  }

  private static Refusal noEndpoint() {
    return Refusal.notRun(RefusalReason.NO_ENDPOINT, "no endpoint of the service takes requests")
        .retryAfter(COME_BACK_AFTER);
  }
}

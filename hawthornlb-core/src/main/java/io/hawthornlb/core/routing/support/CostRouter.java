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
 * Router that compares endpoints by the time that a request would probably take there.
 *
 * <p>For a small service the router compares all endpoints. For a large service it compares the
 * probable holders of the prompt's prefix and a few endpoints drawn at random, so that the cost of
 * a decision does not depend on the size of the service.
 */
public final class CostRouter implements Router {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

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
    Set<DataCentre> suspectCentres = suspectCentres(request);
    Route best = cheapest(candidates(request, all, now), suspectCentres, request, now);
    if (best == null && all.size() > settings.scanAtMost()) {
      best = cheapest(all, suspectCentres, request, now);
    }
    return best == null ? Either.left(noEndpoint()) : Either.right(best);
  }

  private @Nullable Route cheapest(
      List<Endpoint> candidates,
      Set<DataCentre> suspectCentres,
      RouteRequest request,
      Instant now) {
    Endpoint best = null;
    double leastMillis = Double.MAX_VALUE;
    int offset = candidates.isEmpty() ? 0 : random.nextInt(candidates.size());
    for (int i = 0; i < candidates.size(); i++) {
      Endpoint endpoint = candidates.get((i + offset) % candidates.size());
      if (!endpoint.accepts(now) || request.excluded().contains(endpoint.id())) {
        continue;
      }
      double millis = cost.millis(endpoint, request, now);
      millis += suspectCentres.contains(endpoint.dataCentre()) ? settings.remoteFailureMillis() : 0;
      if (millis < leastMillis) {
        leastMillis = millis;
        best = endpoint;
      }
    }
    return best == null
        ? null
        : new Route(best.id(), best.address(), best.dataCentre(), leastMillis);
  }

  /**
   * Returns the remote data centres that are likely to fail this request, because an attempt of the
   * request has failed there or in another remote one.
   */
  private Set<DataCentre> suspectCentres(RouteRequest request) {
    if (request.excluded().isEmpty()) {
      return Set.of();
    }
    // In a network partition all endpoints of the other side fail. A request that tries them one
    // after the other would use up its attempts before the endpoint table notices. So the second
    // attempt prefers the local data centre.
    Set<DataCentre> suspectCentres = new HashSet<>();
    for (EndpointId failed : request.excluded()) {
      endpoints.find(failed).map(Endpoint::dataCentre).ifPresent(suspectCentres::add);
    }
    if (suspectCentres.stream().anyMatch(centre -> !centre.equals(request.origin()))) {
      endpoints.of(request.service()).forEach(each -> suspectCentres.add(each.dataCentre()));
    }
    suspectCentres.remove(request.origin());
    return suspectCentres;
  }

  private List<Endpoint> candidates(RouteRequest request, List<Endpoint> all, Instant now) {
    if (all.size() <= settings.scanAtMost()) {
      return all;
    }
    List<Endpoint> near = endpoints.of(request.service(), request.origin());
    List<Endpoint> chosen = new ArrayList<>();
    addSamples(near, settings.samples(), chosen);
    addSamples(all, near.isEmpty() ? settings.samples() : 2, chosen);
    if (settings.terms().contains(RouterTerm.PREFIX)) {
      addHolders(request, near.isEmpty() ? all : near, chosen, now);
    }
    return chosen;
  }

  private void addSamples(List<Endpoint> from, int count, List<Endpoint> into) {
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
      // Entry instances that receive a new prefix at the same time agree on its endpoint before
      // any cache event arrives.
      int home = Math.floorMod(request.prefixes().get(0).hashCode(), near.size());
      chosen.add(near.get(home));
    }
  }

  private static Refusal noEndpoint() {
    return Refusal.notRun(RefusalReason.NO_ENDPOINT, "no endpoint of the service takes requests")
        .retryAfter(RETRY_AFTER);
  }
}

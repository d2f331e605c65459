package io.hawthornlb.core.routing.support;

import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.routing.InFlightTracker;
import io.hawthornlb.core.routing.PrefixIndex;
import io.hawthornlb.core.routing.RouteRequest;
import io.hawthornlb.core.routing.RouterSettings;
import io.hawthornlb.core.routing.RouterTerm;
import java.time.Instant;
import java.util.List;

/**
 * Estimates the time that a request would take at an endpoint, including penalties for the risk of
 * failure.
 */
public final class EndpointCost {

  private final InFlightTracker inFlight;
  private final PrefixIndex prefixes;
  private final RouterSettings settings;

  /** Creates an estimator that uses the known requests in flight and the cached prefixes. */
  public EndpointCost(InFlightTracker inFlight, PrefixIndex prefixes, RouterSettings settings) {
    this.inFlight = inFlight;
    this.prefixes = prefixes;
    this.settings = settings;
  }

  /** Returns the estimated cost in milliseconds. */
  public double millis(Endpoint endpoint, RouteRequest request, Instant now) {
    double millis = loadMillis(endpoint, now) + prefillMillis(endpoint, request, now);
    if (uses(RouterTerm.FAILURES)) {
      millis += endpoint.recentFailures(now) * settings.failureMillis();
    }
    if (uses(RouterTerm.DISTANCE) && !endpoint.dataCentre().equals(request.origin())) {
      millis += settings.distanceMillis();
    }
    return millis;
  }

  /** Returns the estimated number of online requests at an endpoint now. */
  public int online(Endpoint endpoint) {
    LoadReport report = uses(RouterTerm.LOAD_REPORT) ? endpoint.load().orElse(null) : null;
    if (!uses(RouterTerm.IN_FLIGHT)) {
      return report == null ? 0 : report.online();
    }
    int known = inFlight.total(endpoint.id());
    if (report == null) {
      return known;
    }
    // A load report is seconds old: if it alone counted, all entry instances would send requests
    // to the endpoint that was idle then. The change since the report brings it up to date; the
    // number of requests known to run is the lower bound.
    int corrected = report.online() + inFlight.changeSince(endpoint.id(), report.asOf());
    return Math.max(known, corrected);
  }

  private double loadMillis(Endpoint endpoint, Instant now) {
    int slots = endpoint.load().map(LoadReport::slots).orElse(settings.defaultSlots());
    double weight = uses(RouterTerm.SLOW_START) ? endpoint.startWeight(now) : 1;
    double effectiveSlots = Math.max(1, slots * weight);
    double requests = online(endpoint) + 1;
    double crowding = requests / effectiveSlots * settings.crowdingShare();
    double waiting = Math.max(0, requests - effectiveSlots) / effectiveSlots;
    return (crowding + waiting) * settings.serviceMillis();
  }

  private double prefillMillis(Endpoint endpoint, RouteRequest request, Instant now) {
    double uncached = request.promptTokens() * settings.prefillMillisPerToken();
    List<String> prefixHashes = request.prefixes();
    if (!uses(RouterTerm.PREFIX) || prefixHashes.isEmpty()) {
      return uncached;
    }
    for (int i = prefixHashes.size() - 1; i >= 0; i--) {
      double confidence = prefixes.confidence(endpoint.id(), prefixHashes.get(i), now);
      if (confidence > 0) {
        return uncached * (1 - confidence * (i + 1) / (prefixHashes.size() + 1));
      }
    }
    return uncached;
  }

  private boolean uses(RouterTerm term) {
    return settings.terms().contains(term);
  }
}

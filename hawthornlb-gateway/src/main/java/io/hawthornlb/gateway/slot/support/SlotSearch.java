package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** Looks for endpoints of a service that have a free slot for a request. */
final class SlotSearch {

  private final String service;
  private final EndpointDirectory directory;
  private final SlotSettings settings;
  private final SlotLeases leases;
  private final Penalties penalties;
  private final Outliers outliers;
  private final ForeignLoad foreign;

  SlotSearch(
      String service,
      EndpointDirectory directory,
      SlotSettings settings,
      SlotLeases leases,
      Penalties penalties,
      Outliers outliers,
      ForeignLoad foreign) {
    this.service = service;
    this.directory = directory;
    this.settings = settings;
    this.leases = leases;
    this.penalties = penalties;
    this.outliers = outliers;
    this.foreign = foreign;
  }

  /** Returns the slots of all endpoints, free or not. */
  int slots() {
    return directory.usable(service).stream().mapToInt(EndpointRecord::slots).sum();
  }

  /** Returns whether any endpoint that gets requests has a free slot. */
  boolean anyFree(Instant now) {
    List<EndpointRecord> usable = directory.usable(service);
    boolean freeAtFailing = false;
    for (EndpointRecord endpoint : usable) {
      if (inUse(endpoint, now) < endpoint.slots()) {
        if (!outliers.failsMost(endpoint.id(), now)) {
          return true;
        }
        freeAtFailing = true;
      }
    }
    return freeAtFailing && failingAreHalf(usable, now);
  }

  private boolean failingAreHalf(List<EndpointRecord> endpoints, Instant now) {
    long failing = endpoints.stream().filter(each -> outliers.failsMost(each.id(), now)).count();
    return atLeastHalf(failing, endpoints.size());
  }

  private static boolean atLeastHalf(long part, long whole) {
    return 2 * part >= whole;
  }

  /**
   * Returns whether a batch item may take a slot and leave enough for online requests.
   *
   * <p>Load pattern: on a crest the number of online requests goes up and down around its mean by
   * about its square root. An item that takes a slot in each dip is revoked a moment later and has
   * cost the endpoint a prompt. So that many slots stay free.
   *
   * <p>Failure: endpoints that do not answer stay in the list for seconds, and those behind a cut
   * for as long as it lasts. It shows as items that are revoked as soon as they have begun, again
   * and again, since an online request finds no slot where an item saw some. Guard: a slot counts
   * as free only at an endpoint that would get the item.
   */
  boolean roomForItem(List<EndpointRecord> endpoints, Instant now) {
    int free = 0;
    for (EndpointRecord endpoint : endpoints) {
      free += Math.max(0, endpoint.slots() - inUse(endpoint, now));
    }
    return free > settings.itemReserve() * Math.sqrt(leases.online());
  }

  /** Returns the endpoints that may get a request, also those that are avoided. */
  List<EndpointRecord> candidates(SlotRequest request, Instant now) {
    return withoutFailing(reachable(request, now), request.dataCentre(), now);
  }

  /** Returns those of some endpoints that are not avoided. */
  List<EndpointRecord> sound(List<EndpointRecord> endpoints, String dataCentre, Instant now) {
    return endpoints.stream()
        .filter(each -> !outliers.avoided(each.id(), dataCentre, now))
        .toList();
  }

  private List<EndpointRecord> reachable(SlotRequest request, Instant now) {
    return directory.usable(service).stream()
        .filter(endpoint -> !excluded(request, endpoint))
        .filter(endpoint -> penalties.free(endpoint, request.dataCentre(), now))
        .toList();
  }

  /**
   * Returns the endpoints but those that fail most of their requests, unless these are half of
   * them: what fails everywhere is no endpoint's fault, and nothing else would be left.
   */
  private List<EndpointRecord> withoutFailing(
      List<EndpointRecord> candidates, String dataCentre, Instant now) {
    List<EndpointRecord> rest =
        candidates.stream()
            .filter(each -> !outliers.failsMost(each.id(), dataCentre, now))
            .toList();
    int failing = candidates.size() - rest.size();
    return atLeastHalf(failing, candidates.size()) ? candidates : rest;
  }

  /** Returns whether a request excludes a life of an endpoint, or one that came after it. */
  private static boolean excluded(SlotRequest request, EndpointRecord endpoint) {
    // Asked for each endpoint and decision, mostly with nothing excluded.
    if (request.excluded().isEmpty()) {
      return false;
    }
    EndpointIncarnation life = endpoint.life();
    for (EndpointIncarnation each : request.excluded()) {
      if (each.equals(life) || each.follows(life)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the best of some endpoints that have a free slot. */
  Optional<EndpointRecord> withFreeSlot(
      List<EndpointRecord> candidates, String dataCentre, Instant now) {
    return candidates.stream()
        .filter(endpoint -> inUse(endpoint, now) < endpoint.slots())
        .min(settings.placement().order(dataCentre, endpoint -> inUse(endpoint, now)));
  }

  /** Returns those of some endpoints that a data centre prefers. */
  List<EndpointRecord> preferred(List<EndpointRecord> endpoints, String dataCentre) {
    return endpoints.stream()
        .filter(endpoint -> settings.placement().prefers(endpoint, dataCentre))
        .toList();
  }

  private int inUse(EndpointRecord endpoint, Instant now) {
    return leases.used(endpoint.id()) + foreign.at(endpoint.id(), now);
  }
}

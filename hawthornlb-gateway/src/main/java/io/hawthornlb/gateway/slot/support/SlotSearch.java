package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.pace.PaceTable;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Searches the endpoints of a service for a free slot for a request. */
final class SlotSearch {

  private final String service;
  private final EndpointDirectory directory;
  private final SlotSettings settings;
  private final SlotLeases leases;
  private final Penalties penalties;
  private final OutlierDetector outliers;
  private final UntrackedLoad untrackedLoad;
  private final PaceTable paces;
  private final Placement placement;

  SlotSearch(
      String service,
      EndpointDirectory directory,
      SlotSettings settings,
      SlotLeases leases,
      Penalties penalties,
      OutlierDetector outliers,
      UntrackedLoad untrackedLoad,
      PaceTable paces) {
    this.service = service;
    this.directory = directory;
    this.settings = settings;
    this.leases = leases;
    this.penalties = penalties;
    this.outliers = outliers;
    this.untrackedLoad = untrackedLoad;
    this.paces = paces;
    this.placement = new PacePlacement(settings.placement(), paces);
  }

  /** Returns the number of slots of all endpoints, free or not. */
  int slots() {
    return directory.usable(service).stream().mapToInt(EndpointRecord::slots).sum();
  }

  /**
   * Returns the number of slots of all endpoints, each weighted by the pace that its endpoint has
   * shown over time: a slot where work takes twice as long counts half.
   */
  double capacity() {
    double capacity = 0;
    for (EndpointRecord endpoint : directory.usable(service)) {
      capacity += endpoint.slots() / paces.lastingFactor(endpoint.id());
    }
    return capacity;
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
   * Returns the number of free slots at endpoints that may get a batch item.
   *
   * <p>Endpoints that do not answer stay in the directory for seconds, and those behind a network
   * partition for as long as it lasts. If their slots counted as free, items would be revoked as
   * soon as they have begun, again and again, because an online request finds no free slot where an
   * item saw some. So only free slots at endpoints that would get the item count.
   */
  int free(List<EndpointRecord> endpoints, Instant now) {
    int free = 0;
    for (EndpointRecord endpoint : endpoints) {
      free += Math.max(0, endpoint.slots() - inUse(endpoint, now));
    }
    return free;
  }

  /**
   * Returns the number of free slots by which an item is admitted: those of all versions, since
   * online requests may use all of them. An item that continues at a rare version would otherwise
   * never find enough of them free.
   *
   * @param candidates endpoints that the item may get
   */
  int freeForItem(SlotRequest item, List<EndpointRecord> candidates, Instant now) {
    if (item.version() == null) {
      return free(candidates, now);
    }
    List<EndpointRecord> ofAnyVersion = candidates(item.withoutVersion(), now);
    return free(withoutAvoided(ofAnyVersion, item.dataCentre(), now), now);
  }

  /** Returns the endpoints that may get a request, including avoided ones. */
  List<EndpointRecord> candidates(SlotRequest request, Instant now) {
    return withoutFailing(reachable(request, now), request.dataCentre(), now);
  }

  /** Returns the given endpoints without the avoided ones. */
  List<EndpointRecord> withoutAvoided(
      List<EndpointRecord> endpoints, String dataCentre, Instant now) {
    return matching(endpoints, each -> !outliers.avoided(each.id(), dataCentre, now));
  }

  private List<EndpointRecord> reachable(SlotRequest request, Instant now) {
    return matching(
        directory.usable(service),
        endpoint ->
            matchesVersion(request, endpoint)
                && !excluded(request, endpoint)
                && penalties.allows(endpoint, request.dataCentre(), now));
  }

  /**
   * Returns the endpoints without those that fail most of their requests. If at least half of the
   * endpoints fail most of their requests, this method returns all endpoints: such a widespread
   * failure is not the fault of single endpoints, and too few of them would be left.
   */
  private List<EndpointRecord> withoutFailing(
      List<EndpointRecord> candidates, String dataCentre, Instant now) {
    List<EndpointRecord> rest =
        matching(candidates, each -> !outliers.failsMost(each.id(), dataCentre, now));
    int failing = candidates.size() - rest.size();
    return atLeastHalf(failing, candidates.size()) ? candidates : rest;
  }

  /**
   * Returns whether a request may get a listed endpoint by its version. A list without any endpoint
   * tells nothing of the version: it may not have been read yet.
   */
  boolean serves(SlotRequest request) {
    List<EndpointRecord> listed = directory.usable(service);
    if (request.version() == null || listed.isEmpty()) {
      return true;
    }
    for (EndpointRecord endpoint : listed) {
      if (matchesVersion(request, endpoint)) {
        return true;
      }
    }
    return false;
  }

  private static boolean matchesVersion(SlotRequest request, EndpointRecord endpoint) {
    return request.version() == null || request.version().equals(endpoint.version());
  }

  /** Returns whether a request excludes the current incarnation of an endpoint or a later one. */
  private static boolean excluded(SlotRequest request, EndpointRecord endpoint) {
    // Fast path: called for each endpoint in each decision, mostly with nothing excluded.
    if (request.excluded().isEmpty()) {
      return false;
    }
    EndpointIncarnation incarnation = endpoint.incarnation();
    for (EndpointIncarnation each : request.excluded()) {
      if (each.equals(incarnation) || each.follows(incarnation)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the best of the given endpoints that has a free slot. */
  Optional<EndpointRecord> withFreeSlot(
      List<EndpointRecord> candidates, String dataCentre, Instant now) {
    List<EndpointRecord> free =
        candidates.stream().filter(endpoint -> inUse(endpoint, now) < endpoint.slots()).toList();
    return placement.choose(free, dataCentre, endpoint -> inUse(endpoint, now), now);
  }

  /**
   * Returns those of the given endpoints that the placement prefers for requests from a data
   * centre.
   */
  List<EndpointRecord> preferred(List<EndpointRecord> endpoints, String dataCentre, Instant now) {
    return matching(endpoints, endpoint -> placement.prefers(endpoint, dataCentre, now));
  }

  /**
   * Returns the endpoints that match a condition. A loop, because streams took a quarter of the
   * time of a decision at 62 endpoints.
   */
  private static List<EndpointRecord> matching(
      List<EndpointRecord> endpoints, Predicate<EndpointRecord> condition) {
    List<EndpointRecord> matching = new ArrayList<>(endpoints.size());
    for (EndpointRecord endpoint : endpoints) {
      if (condition.test(endpoint)) {
        matching.add(endpoint);
      }
    }
    return matching;
  }

  private int inUse(EndpointRecord endpoint, Instant now) {
    return leases.used(endpoint.id()) + untrackedLoad.at(endpoint.id(), now);
  }
}

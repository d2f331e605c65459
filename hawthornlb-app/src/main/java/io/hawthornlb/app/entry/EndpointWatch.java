package io.hawthornlb.app.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.app.batch.BatchPlane;
import io.hawthornlb.core.batch.OnlineNotice;
import io.hawthornlb.core.batch.StewardElection;
import io.hawthornlb.core.batch.support.RendezvousElection;
import io.hawthornlb.core.effect.SpreadScope;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.routing.PrefixEvent;
import io.hawthornlb.net.endpoint.EndpointClient;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Watches the endpoints whose steward this instance is, and tells peers what it sees.
 *
 * <p>One entry asks each endpoint, not all of them: at the size of a large fleet the reports alone
 * would otherwise cost each endpoint hundreds of calls a second.
 */
final class EndpointWatch implements EndpointEvents {

  private static final Duration TELL_AGAIN = Duration.ofSeconds(2);

  private final OnlinePolicies policies;
  private final PeerMesh peers;
  private final FleetView fleet;
  private final CatalogueHolder catalogue;
  private final BatchPlane batch;
  private final EffectSink effects;
  private final InstantSource clock;
  private final EndpointMonitor monitor;
  private final Map<EndpointId, LoadReport> told = new HashMap<>();
  private final StewardElection election = new RendezvousElection();

  EndpointWatch(
      OnlinePolicies policies,
      PeerMesh peers,
      FleetView fleet,
      CatalogueHolder catalogue,
      BatchPlane batch,
      EffectSink effects,
      EndpointClient client,
      DecisionLoop loop,
      InstantSource clock) {
    this.policies = policies;
    this.peers = peers;
    this.fleet = fleet;
    this.catalogue = catalogue;
    this.batch = batch;
    this.effects = effects;
    this.clock = clock;
    this.monitor = new EndpointMonitor(client, new ObjectMapper(), loop, this);
  }

  /** Asks endpoints for reports, and for their health where a probe is due; on the loop. */
  void poll() {
    List<Endpoint> stewarded = stewarded();
    batch.dispatchTo(stewarded);
    monitor.poll(stewarded);
    monitor.probe(policies.endpoints().probesDue(clock.instant()));
  }

  /** Tells the steward of an endpoint how many requests of this entry are in flight there. */
  void tellSteward(EndpointId endpoint) {
    int inFlight = policies.inFlight().own(endpoint);
    batch.onOwnRequests(endpoint, inFlight);
    policies
        .endpoints()
        .find(endpoint)
        .flatMap(this::steward)
        .filter(steward -> !steward.equals(fleet.self()))
        .ifPresent(
            steward -> peers.send(steward, new OnlineNotice(fleet.self(), endpoint, inFlight)));
  }

  /** Returns whether a report says anything new, or the last one told is getting old. */
  private boolean worthTelling(EndpointId endpoint, LoadReport report) {
    LoadReport last = told.get(endpoint);
    boolean same =
        last != null
            && last.running() == report.running()
            && last.waiting() == report.waiting()
            && last.batch() == report.batch()
            && report.asOf().isBefore(last.asOf().plus(TELL_AGAIN));
    if (!same) {
      told.put(endpoint, report);
    }
    return !same;
  }

  private List<Endpoint> stewarded() {
    return catalogue.current().catalogue().services().keySet().stream()
        .flatMap(service -> policies.endpoints().of(service).stream())
        .filter(this::isSteward)
        .toList();
  }

  @Override
  public void loaded(EndpointId endpoint, LoadReport report) {
    LoadReport completed = batch.completeReport(endpoint, report);
    policies.endpoints().onLoad(endpoint, completed, clock.instant());
    if (worthTelling(endpoint, completed)) {
      peers.spread(new LoadNotice(endpoint, completed), SpreadScope.FLEET);
    }
  }

  @Override
  public void cached(EndpointId endpoint, List<PrefixEvent> events) {
    policies.prefixes().onEvents(endpoint, events, clock.instant());
    peers.spread(new CacheNotice(endpoint, events), SpreadScope.FLEET);
  }

  @Override
  public void observed(EndpointId endpoint, Observation observation) {
    effects.perform(policies.endpoints().onObservation(endpoint, observation, clock.instant()));
  }

  private boolean isSteward(Endpoint endpoint) {
    return steward(endpoint).filter(fleet.self()::equals).isPresent();
  }

  private Optional<InstanceId> steward(Endpoint endpoint) {
    Collection<InstanceId> here = fleet.in(endpoint.dataCentre());
    Collection<InstanceId> candidates = here.isEmpty() ? fleet.entries().keySet() : here;
    return election.steward(endpoint.id(), candidates);
  }
}

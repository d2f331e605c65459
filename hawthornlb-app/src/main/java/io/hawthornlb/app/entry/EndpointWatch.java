package io.hawthornlb.app.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
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
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;

/**
 * Watches the endpoints whose steward this instance is, and tells peers what it sees.
 *
 * <p>One entry asks each endpoint, not all of them: at the size of a large fleet the reports alone
 * would otherwise cost each endpoint hundreds of calls a second.
 */
final class EndpointWatch implements EndpointEvents {

  private final OnlinePolicies policies;
  private final PeerMesh peers;
  private final FleetView fleet;
  private final CatalogueHolder catalogue;
  private final EffectSink effects;
  private final InstantSource clock;
  private final EndpointMonitor monitor;
  private final StewardElection election = new RendezvousElection();

  EndpointWatch(
      OnlinePolicies policies,
      PeerMesh peers,
      FleetView fleet,
      CatalogueHolder catalogue,
      EffectSink effects,
      EndpointClient client,
      DecisionLoop loop,
      InstantSource clock) {
    this.policies = policies;
    this.peers = peers;
    this.fleet = fleet;
    this.catalogue = catalogue;
    this.effects = effects;
    this.clock = clock;
    this.monitor = new EndpointMonitor(client, new ObjectMapper(), loop, this);
  }

  /** Asks endpoints for reports, and for their health where a probe is due; on the loop. */
  void poll() {
    monitor.poll(stewarded());
    monitor.probe(policies.endpoints().probesDue(clock.instant()));
  }

  /** Returns the endpoints of all services whose steward this instance is; on the loop. */
  List<Endpoint> stewarded() {
    return catalogue.current().catalogue().services().keySet().stream()
        .flatMap(service -> policies.endpoints().of(service).stream())
        .filter(this::isSteward)
        .toList();
  }

  @Override
  public void loaded(EndpointId endpoint, LoadReport report) {
    policies.endpoints().onLoad(endpoint, report, clock.instant());
    peers.spread(new LoadNotice(endpoint, report), SpreadScope.FLEET);
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
    Collection<InstanceId> here = fleet.in(endpoint.dataCentre());
    Collection<InstanceId> candidates = here.isEmpty() ? fleet.entries().keySet() : here;
    return election.steward(endpoint.id(), candidates).filter(fleet.self()::equals).isPresent();
  }
}

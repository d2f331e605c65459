package io.hawthornlb.app.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.app.batch.BatchPlane;
import io.hawthornlb.core.batch.DispatcherElection;
import io.hawthornlb.core.batch.OnlineNotice;
import io.hawthornlb.core.batch.support.RendezvousElection;
import io.hawthornlb.core.effect.BroadcastScope;
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
 * Monitors the endpoints whose dispatcher is this instance, and broadcasts their reports to peers.
 *
 * <p>Only the dispatcher polls an endpoint. If all entry instances of a large fleet polled it, the
 * reports alone would cost each endpoint hundreds of calls a second.
 */
final class EndpointWatch implements EndpointListener {

  private static final Duration REBROADCAST_INTERVAL = Duration.ofSeconds(2);

  private final OnlinePolicies policies;
  private final PeerMesh peers;
  private final FleetView fleet;
  private final CatalogueHolder catalogue;
  private final BatchPlane batch;
  private final EffectSink effects;
  private final InstantSource clock;
  private final EndpointMonitor monitor;
  private final Map<EndpointId, LoadReport> lastBroadcast = new HashMap<>();
  private final DispatcherElection election = new RendezvousElection();

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

  /**
   * Polls the assigned endpoints, and probes the health of all endpoints whose probe is due. Call
   * this method on the decision loop.
   */
  void poll() {
    List<Endpoint> assigned = assigned();
    batch.dispatchTo(assigned);
    monitor.poll(assigned);
    monitor.probe(policies.endpoints().probesDue(clock.instant()));
  }

  /**
   * Sends the number of requests that this instance has in flight at an endpoint to the dispatcher
   * of the endpoint.
   */
  void notifyDispatcher(EndpointId endpoint) {
    int inFlight = policies.inFlight().own(endpoint);
    batch.onOwnRequests(endpoint, inFlight);
    policies
        .endpoints()
        .find(endpoint)
        .flatMap(this::dispatcher)
        .filter(dispatcher -> !dispatcher.equals(fleet.self()))
        .ifPresent(
            dispatcher ->
                peers.send(dispatcher, new OnlineNotice(fleet.self(), endpoint, inFlight)));
  }

  /**
   * Returns whether to broadcast a report: its counts differ from the last broadcast report, or
   * that report is at least 2 s older.
   */
  private boolean shouldBroadcast(EndpointId endpoint, LoadReport report) {
    LoadReport last = lastBroadcast.get(endpoint);
    boolean unchanged =
        last != null
            && last.running() == report.running()
            && last.waiting() == report.waiting()
            && last.batch() == report.batch()
            && report.asOf().isBefore(last.asOf().plus(REBROADCAST_INTERVAL));
    if (!unchanged) {
      lastBroadcast.put(endpoint, report);
    }
    return !unchanged;
  }

  private List<Endpoint> assigned() {
    return catalogue.current().catalogue().services().keySet().stream()
        .flatMap(service -> policies.endpoints().of(service).stream())
        .filter(this::isDispatcher)
        .toList();
  }

  @Override
  public void onLoadReport(EndpointId endpoint, LoadReport report) {
    LoadReport completed = batch.completeReport(endpoint, report);
    policies.endpoints().onLoad(endpoint, completed, clock.instant());
    if (shouldBroadcast(endpoint, completed)) {
      peers.broadcast(new LoadNotice(endpoint, completed), BroadcastScope.FLEET);
    }
  }

  @Override
  public void onCacheEvents(EndpointId endpoint, List<PrefixEvent> events) {
    policies.prefixes().onEvents(endpoint, events, clock.instant());
    peers.broadcast(new CacheNotice(endpoint, events), BroadcastScope.FLEET);
  }

  @Override
  public void onObservation(EndpointId endpoint, Observation observation) {
    effects.perform(policies.endpoints().onObservation(endpoint, observation, clock.instant()));
  }

  private boolean isDispatcher(Endpoint endpoint) {
    return dispatcher(endpoint).filter(fleet.self()::equals).isPresent();
  }

  private Optional<InstanceId> dispatcher(Endpoint endpoint) {
    Collection<InstanceId> local = fleet.in(endpoint.dataCentre());
    Collection<InstanceId> candidates = local.isEmpty() ? fleet.entries().keySet() : local;
    return election.dispatcher(endpoint.id(), candidates);
  }
}

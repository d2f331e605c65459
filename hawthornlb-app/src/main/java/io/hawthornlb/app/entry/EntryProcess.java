package io.hawthornlb.app.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.app.batch.BatchPlane;
import io.hawthornlb.app.dispatch.ChatDispatcher;
import io.hawthornlb.app.dispatch.PlainDispatcher;
import io.hawthornlb.app.http.OperatorKeys;
import io.hawthornlb.app.partition.PartitionPlane;
import io.hawthornlb.app.settings.EntrySettings;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.net.endpoint.EndpointClient;
import io.hawthornlb.net.endpoint.support.EndpointClientSettings;
import io.hawthornlb.net.endpoint.support.HttpEndpointClient;
import io.hawthornlb.net.peer.PeerHandlerRegistry;
import io.hawthornlb.net.platform.InstanceList;
import io.hawthornlb.net.platform.support.HttpInstanceListClient;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A running entry instance. Wires the components, and starts and gracefully stops them. */
public final class EntryProcess implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger(EntryProcess.class.getName());
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration RUN_ONCE_TICK_INTERVAL = Duration.ofMillis(5);
  private static final Duration CONTROL_INTERVAL = Duration.ofMillis(250);
  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DEMAND_INTERVAL = Duration.ofSeconds(1);
  private static final Duration ANNOUNCE_INTERVAL = Duration.ofSeconds(2);
  private static final Duration LIST_POLL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(50);
  private static final Duration HAND_OVER_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration WITHDRAW_TIMEOUT = Duration.ofSeconds(2);

  private final EntrySettings settings;
  private final InstantSource clock = new MonotonicInstantSource();
  private final DecisionLoop loop = new DecisionLoop();
  private final CatalogueHolder catalogue = new CatalogueHolder();
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final EndpointClient endpoints = new HttpEndpointClient(EndpointClientSettings.DEFAULT);
  private final FleetView fleet;
  private final HttpInstanceListClient instances;
  private final LogAccess log;
  private final PeerMesh peers;
  private final PeerInstanceList peerList;
  private final OnlinePolicies policies;
  private final CoreOnlineDecisions decisions;
  private final ControlPlane control;
  private final PartitionPlane partitions;
  private final BatchPlane batch;
  private final PolicyExchange exchange;
  private final EndpointWatch watch;
  private final EntryServer server;
  private volatile boolean listKnown;
  private volatile boolean stopping;
  private volatile boolean withdrawn;

  private EntryProcess(EntrySettings settings) {
    this.settings = settings;
    InstanceId self = InstanceId.startedAt(settings.instance().id(), clock.instant());
    this.fleet = new FleetView(self, settings.instance().dataCentre());
    this.instances = new HttpInstanceListClient(settings.platform().uri());
    this.log = new LogAccess(settings.platform().uri(), loop, clock);
    this.peers = new PeerMesh(settings, fleet, PeerMessageTypes.codec());
    this.peerList = new PeerInstanceList(instances, peers.transport());
    this.policies = PolicyFactory.create(self, fleet.dataCentre());
    EffectSink effects =
        new QuarantiningEffects(new OutwardEffects(log, peers, loop), policies.endpoints());
    CrashDetector crashes = new ProbingCrashDetector(endpoints);
    this.decisions = decisions(effects, crashes);
    RecordIdSource ids = new RecordIdSource(self);
    this.control = new ControlPlane(settings, log, loop, ids, catalogue, clock);
    this.partitions =
        new PartitionPlane(
            self,
            control.claimView(),
            log,
            new PeerRecordSource(peers.transport()),
            ids,
            effects,
            new PlainDispatcher(decisions, endpoints, clock, EntryProcess::requestId),
            catalogue,
            loop,
            clock);
    this.batch =
        new BatchPlane(
            self,
            policies,
            catalogue,
            control.claimView(),
            partitions.hosts(),
            log,
            effects,
            endpoints,
            crashes,
            loop,
            clock);
    this.exchange = new PolicyExchange(policies, peers, clock);
    this.watch =
        new EndpointWatch(
            policies, peers, fleet, catalogue, batch, effects, endpoints, loop, clock);
    policies.inFlight().listener(watch::notifyDispatcher);
    startPeers();
    this.server = EntryServer.start(settings.http(), services());
  }

  /** Starts an instance and returns it once it listens for connections. */
  public static EntryProcess start(EntrySettings settings) {
    EntryProcess process = new EntryProcess(settings);
    process.startTasks();
    LOG.log(
        System.Logger.Level.INFO,
        "entry: {0} listens on port {1,number,#}",
        process.fleet.self(),
        process.server.port());
    return process;
  }

  /** Returns the HTTP port for callers. */
  public int port() {
    return server.port();
  }

  /** Returns the host and port for peers. */
  public String peerAddress() {
    return peers.listeningAddress();
  }

  /** Returns the current catalogue of this instance. */
  public CatalogueHolder catalogue() {
    return catalogue;
  }

  /** Waits for the requests in progress, at most for the drain time, then stops all components. */
  @Override
  public void close() {
    stopping = true;
    announce(ListedState.LEAVING);
    loop.execute(decisions::stop);
    awaitOnLoop(this::idle, settings.limits().drain(), "requests");
    loop.execute(batch::stop);
    awaitOnLoop(batch::settled, HAND_OVER_TIMEOUT, "reports on items");
    loop.execute(partitions.hosts()::drain);
    awaitOnLoop(partitions.hosts()::drained, HAND_OVER_TIMEOUT, "records");
    loop.execute(control::stop);
    awaitOnLoop(control::stopped, HAND_OVER_TIMEOUT, "claims");
    withdraw();
    server.close();
    peers.close();
    loop.close();
    log.close();
    endpoints.close();
    instances.close();
    LOG.log(System.Logger.Level.INFO, "entry: {0} stopped", fleet.self());
  }

  private CoreOnlineDecisions decisions(EffectSink effects, CrashDetector crashes) {
    return new CoreOnlineDecisions(
        loop,
        policies,
        crashes,
        effects,
        new RequestMeters(meters),
        fleet.dataCentre(),
        settings.limits().requests(),
        clock);
  }

  private boolean idle() {
    return decisions.inProgress() == 0 && partitions.runOnce().inProgress() == 0;
  }

  private void startPeers() {
    PeerHandlerRegistry.Builder handlers = PeerHandlerRegistry.builder();
    exchange.register(handlers);
    partitions.register(handlers);
    batch.register(handlers);
    handlers.register(InstanceListRequest.class, peerList);
    handlers.register(MissedRecordsRequest.class, new MissedRecordsHandler(log));
    peers.start(handlers, loop);
  }

  private EntryServer.Services services() {
    return new EntryServer.Services(
        new ChatDispatcher(
            decisions, endpoints, new ObjectMapper(), clock, EntryProcess::requestId),
        partitions.runOnce(),
        catalogue,
        this::readinessFindings,
        meters,
        List.of(
            clock,
            partitions.jobs(),
            partitions.reader(),
            new LogCatalogueAdmin(control, catalogue, loop),
            new OperatorKeys(Set.copyOf(settings.operatorKeyHashes()))));
  }

  private static RequestId requestId() {
    return new RequestId(UUID.randomUUID().toString());
  }

  private void startTasks() {
    control.start(new PeerRecordSource(peers.transport()));
    control.onClaims(partitions.hosts()::followClaims);
    loop.every(TICK_INTERVAL, decisions::tick);
    loop.every(TICK_INTERVAL, partitions::tick);
    loop.every(RUN_ONCE_TICK_INTERVAL, partitions.hosts()::tickRunOnce);
    loop.every(TICK_INTERVAL, batch::tick);
    loop.every(CONTROL_INTERVAL, batch::sendBacklogs);
    loop.every(REPORT_INTERVAL, batch::resendReports);
    loop.every(CONTROL_INTERVAL, exchange::sendInFlight);
    loop.every(DEMAND_INTERVAL, exchange::sendDemand);
    loop.every(CONTROL_INTERVAL, control::tick);
    loop.every(CONTROL_INTERVAL, watch::poll);
    loop.every(CONTROL_INTERVAL, this::updateCapacity);
    new InstanceListPoller(loop, peerList, this::onInstanceList, LIST_POLL_INTERVAL).start();
    announce(ListedState.LIVE);
    loop.every(ANNOUNCE_INTERVAL, this::repeatAnnouncement);
  }

  private void onInstanceList(InstanceList list) {
    Instant now = clock.instant();
    policies.endpoints().onList(list.processes(), list.asOf(), now);
    Set<InstanceId> before = fleet.entries().keySet();
    fleet.update(list.processes());
    before.stream()
        .filter(entry -> !fleet.entries().containsKey(entry))
        .forEach(partitions.hosts()::dispatcherLost);
    peers.update(list.processes());
    policies.shares().onEntries(fleet.entries(), now);
    control.onListed(fleet.entries().keySet());
    listKnown = true;
  }

  private void updateCapacity() {
    policies.admission().onCatalogue(catalogue.current().catalogue());
    CapacityCounter count = new CapacityCounter(policies.endpoints());
    catalogue.current().catalogue().services().values().stream()
        .forEach(
            service ->
                policies
                    .admission()
                    .onCapacity(
                        service.name(), count.slots(service, clock.instant()), clock.instant()));
  }

  private void repeatAnnouncement() {
    if (!withdrawn) {
      announce(stopping ? ListedState.LEAVING : ListedState.LIVE);
    }
  }

  private void announce(ListedState state) {
    instances
        .announce(
            new ListedProcess(
                fleet.self().value(),
                ListedKind.ENTRY,
                Optional.empty(),
                fleet.dataCentre(),
                peers.listeningAddress(),
                state))
        .exceptionally(
            failure -> {
              LOG.log(
                  System.Logger.Level.INFO, "instances: could not announce the state {0}", state);
              return null;
            });
  }

  private void withdraw() {
    withdrawn = true;
    try {
      instances
          .withdraw(fleet.self().value())
          .toCompletableFuture()
          .get(WITHDRAW_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      LOG.log(
          System.Logger.Level.INFO, "instances: could not withdraw this instance from the list");
    }
  }

  private void awaitOnLoop(BooleanSupplier condition, Duration limit, String what) {
    Instant until = clock.instant().plus(limit);
    while (clock.instant().isBefore(until)) {
      Boolean holds = loop.<Boolean>ask(sink -> sink.success(condition.getAsBoolean())).block();
      if (Boolean.TRUE.equals(holds)) {
        return;
      }
      try {
        TimeUnit.MILLISECONDS.sleep(STOP_POLL_INTERVAL.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
    LOG.log(System.Logger.Level.WARNING, "entry: stopping with unfinished {0}", what);
  }

  private List<Finding> readinessFindings() {
    List<Finding> found = new ArrayList<>();
    if (stopping) {
      found.add(new Finding("entry", 0, "", "stopping"));
    }
    if (!listKnown) {
      found.add(new Finding("entry", 0, "", "has no list of endpoints yet"));
    }
    if (catalogue.current().catalogue().revision() < 0) {
      found.add(new Finding("entry", 0, "", "has no catalogue yet"));
    }
    return found;
  }
}

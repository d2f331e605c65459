package io.hawthornlb.gateway.process;

import io.hawthornlb.core.crash.PartSuspicions;
import io.hawthornlb.core.crash.support.DefaultPartSuspicions;
import io.hawthornlb.gateway.crash.CrashGuard;
import io.hawthornlb.gateway.crash.support.DefaultCrashGuard;
import io.hawthornlb.gateway.crash.support.StoredEvidence;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.VersionHistory;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.event.PeriodicLines;
import io.hawthornlb.gateway.front.ConfigFreshness;
import io.hawthornlb.gateway.front.ForwardingHandler;
import io.hawthornlb.gateway.front.FrontServer;
import io.hawthornlb.gateway.front.SingleVersion;
import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.http.NettyHttpCaller;
import io.hawthornlb.gateway.job.ItemEstimates;
import io.hawthornlb.gateway.job.JobFormat;
import io.hawthornlb.gateway.job.JobParts;
import io.hawthornlb.gateway.job.JobRunners;
import io.hawthornlb.gateway.learned.LearnedStateStore;
import io.hawthornlb.gateway.loop.ThreadTimes;
import io.hawthornlb.gateway.loop.WorkReport;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.metric.MetricsText;
import io.hawthornlb.gateway.metric.TrafficLog;
import io.hawthornlb.gateway.peer.CountedPeerTransport;
import io.hawthornlb.gateway.peer.DemandMonitor;
import io.hawthornlb.gateway.peer.FleetQuota;
import io.hawthornlb.gateway.peer.FleetSlotClient;
import io.hawthornlb.gateway.peer.FleetStreamOrigins;
import io.hawthornlb.gateway.peer.FleetView;
import io.hawthornlb.gateway.peer.InstanceWatch;
import io.hawthornlb.gateway.peer.LearnedStateReplicator;
import io.hawthornlb.gateway.peer.PeerEvidence;
import io.hawthornlb.gateway.peer.PeerHoldNotices;
import io.hawthornlb.gateway.peer.PeerTransport;
import io.hawthornlb.gateway.peer.UdpPeerTransport;
import io.hawthornlb.gateway.relay.RelayJobPeers;
import io.hawthornlb.gateway.relay.RelayServer;
import io.hawthornlb.gateway.relay.RelayTransport;
import io.hawthornlb.gateway.relay.RelayedJobCalls;
import io.hawthornlb.gateway.relay.RelayingHttpCaller;
import io.hawthornlb.gateway.relay.TcpRelayTransport;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.RouteHistory;
import io.hawthornlb.gateway.store.KeyedFollower;
import io.hawthornlb.gateway.store.LogFreshness;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.support.CountedLogStore;
import io.hawthornlb.gateway.stream.StreamOrigins;
import io.hawthornlb.gateway.wire.ConnectionProbe;
import io.hawthornlb.gateway.wire.EndpointPool;
import io.hawthornlb.gateway.wire.HeaderNames;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A running gateway. Everything that touches a request runs on one event loop. */
public final class GatewayProcess {

  /**
   * Time for which connections are still accepted after the stop signal; the load balancer needs
   * two failed checks to notice.
   */
  private static final Duration ACCEPT_AFTER_STOP = Duration.ofMillis(2_600);

  /**
   * Time reserved at the end of the stop time, so that the process exits by itself before it is
   * killed.
   */
  private static final Duration STOP_MARGIN = Duration.ofMillis(700);

  /** Key that determines the order in which processes share the partitions of the jobs. */
  private static final String JOBS = "jobs";

  private static final Duration STOP_POLL = Duration.ofMillis(50);

  private final GatewaySettings settings;
  private final EventLoop loop;
  private final InstantSource clock;
  private final EventLog log;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final ConfigHolder config = new ConfigHolder();
  private final EndpointDirectory directory = new EndpointDirectory();
  private final VersionHistory versions;
  private final EndpointSource endpoints;
  private final InstanceSource instances;
  private final ForwardingHandler handler;
  private final FrontServer front;
  private final JobRunners jobs;
  private final PeriodicLines lines;
  private boolean stopping;

  /**
   * Starts a gateway on an event loop.
   *
   * @throws io.hawthornlb.gateway.loop.ListenException if an address cannot be used; the instance
   *     is not registered then
   */
  public GatewayProcess(
      GatewaySettings settings,
      EventLoop loop,
      StoreAccess access,
      SourceFormats formats,
      JobFormat jobFormat,
      HeaderNames names,
      InstantSource clock,
      EventLog log) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    FleetView fleet = new FleetView(settings.self());
    HttpCaller direct = new NettyHttpCaller(loop);
    RelayTransport relayTransport = new TcpRelayTransport(loop);
    RelayingHttpCaller caller = relayingCaller(direct, relayTransport, fleet);
    LogStore store = new CountedLogStore(access.client().apply(caller), metrics);
    PeerTransport transport = peerTransport();
    FleetSlotClient slots = slotClient(fleet, transport, store);
    EndpointPool pool = new EndpointPool(loop, names, clock, metrics, log);
    DefaultCrashGuard crashes = crashGuard(fleet, transport, store, caller);
    ConfigSource configs = new ConfigSource(formats, config, clock, log);
    Duration wait = KeyedFollower.waitWithin(settings.changeTime());
    KeyedFollower routes = follow(store, formats.configTopic(), wait, configs);
    caller.onStoreRecovered(routes::readNow);
    directory.onRemoval(endpoint -> pool.forget(endpoint.incarnation()));
    directory.onRestart(pool::onRestart);
    versions = new VersionHistory(directory, clock);
    endpoints = new EndpointSource(formats, directory, versions, loop, clock, log);
    instances = new InstanceSource(fleet, store, loop, clock, log);
    jobs =
        new JobRunners(
            jobParts(routes, slots, crashes.forItems(), pool, names, store),
            jobFormat,
            new PeerHoldNotices(fleet, transport),
            new RelayJobPeers(fleet, relayTransport, clock),
            settings.jobPartitions(),
            () -> rank(fleet));
    new RelayServer(direct, access.address(), caller::storeUnavailable, log)
        .bind(loop, settings.self().address(), new RelayedJobCalls(jobs.router(), names, clock));
    ConfigFreshness check = new ConfigFreshness(routes, settings.changeTime(), loop);
    KeyedFollower list = follow(store, formats.endpointTopic(), wait, endpoints);
    caller.onStoreRecovered(list::readNow);
    SingleVersion single =
        new SingleVersion(
            versions, new RouteHistory(config, clock), ConfigFreshness.ofList(list, loop), clock);
    StreamOrigins origins = new FleetStreamOrigins(fleet, transport, loop, clock, log, metrics);
    handler =
        new ForwardingHandler(forwardingParts(check, slots, origins, single, crashes, pool, names));
    front = new FrontServer(handler, config, check, clock, log);
    caller.onStoreRecovered(
        follow(store, InstanceSource.TOPIC, KeyedFollower.RELAXED_WAIT, instances)::readNow);
    front.bind(loop, settings.front());
    bindReadiness();
    instances.announce();
    new InstanceWatch(fleet, transport, loop, clock, log, instances::remove).start();
    loop.execute(jobs::start);
    lines = lines();
    lines.start();
    log.important("process", "started").with("instance", settings.self().name()).write();
  }

  /**
   * Stops accepting connections, waits for the requests in progress, and returns when the process
   * may exit.
   */
  public void stop() {
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(() -> beginStop(done));
    try {
      done.await(settings.stopTime().toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the periodic log lines about processor time and traffic. */
  private PeriodicLines lines() {
    WorkReport work = new WorkReport(loop, new ThreadTimes(), log);
    TrafficLog traffic = new TrafficLog(metrics, log);
    return new PeriodicLines(loop, List.of(work::write, traffic::write));
  }

  /**
   * Returns the HTTP caller for the store, which uses peers as relays if the store is not directly
   * reachable.
   */
  private RelayingHttpCaller relayingCaller(
      HttpCaller direct, RelayTransport relayTransport, FleetView fleet) {
    return new RelayingHttpCaller(
        direct,
        relayTransport,
        () -> fleet.rankedOthers(settings.self().name(), clock.instant()),
        clock,
        log);
  }

  private FleetSlotClient slotClient(FleetView fleet, PeerTransport transport, LogStore store) {
    FleetQuota quota = new FleetQuota(fleet, transport, config, loop, clock);
    LearnedStateStore learned = new LearnedStateStore(store, loop, clock, log);
    LearnedStateReplicator replicator =
        new LearnedStateReplicator(fleet, transport, directory, learned, loop, clock, log);
    FleetSlotClient slots =
        new FleetSlotClient(
            fleet,
            transport,
            directory,
            loop,
            clock,
            log,
            quota,
            settings.scheduling(),
            metrics,
            replicator);
    slots.onDemand(new DemandMonitor(log, metrics)::report);
    return slots;
  }

  /** Returns the guard against requests that crash endpoints, which shares what it learns. */
  private DefaultCrashGuard crashGuard(
      FleetView fleet, PeerTransport transport, LogStore store, RelayingHttpCaller caller) {
    PartSuspicions suspicions = new DefaultPartSuspicions();
    DefaultCrashGuard guard =
        new DefaultCrashGuard(suspicions, new ConnectionProbe(loop), loop, clock, log, metrics);
    PeerEvidence peers = new PeerEvidence(fleet, transport, guard);
    guard.addChannel(peers);
    StoredEvidence stored = new StoredEvidence(suspicions, guard, peers, store, loop, clock, log);
    guard.addChannel(stored);
    caller.onStoreRecovered(
        follow(store, StoredEvidence.TOPIC, KeyedFollower.RELAXED_WAIT, stored)::readNow);
    loop.execute(guard::start);
    return guard;
  }

  private PeerTransport peerTransport() {
    UdpPeerTransport transport =
        new UdpPeerTransport(loop, settings.self().address(), settings.self().name(), clock, log);
    return new CountedPeerTransport(transport, metrics);
  }

  private ForwardingHandler.Parts forwardingParts(
      ConfigFreshness check,
      FleetSlotClient slots,
      StreamOrigins origins,
      SingleVersion single,
      CrashGuard crashes,
      EndpointPool pool,
      HeaderNames names) {
    return new ForwardingHandler.Parts(
        config,
        check,
        settings.revocation(),
        directory,
        slots,
        origins,
        single,
        crashes,
        pool,
        names,
        jobs.router(),
        settings.self().dataCentre(),
        loop,
        clock,
        log,
        metrics);
  }

  private JobParts jobParts(
      LogFreshness configFreshness,
      FleetSlotClient slots,
      CrashGuard crashes,
      EndpointPool pool,
      HeaderNames names,
      LogStore store) {
    return new JobParts(
        config,
        configFreshness,
        directory,
        slots,
        new ItemEstimates(settings.scheduling()),
        crashes,
        pool,
        names,
        store,
        settings.resultRetention(),
        settings.self().dataCentre(),
        loop,
        clock,
        log,
        metrics,
        settings.scheduling());
  }

  /**
   * Returns the position of this process among those that share the partitions of the jobs; empty
   * until the instance list was read.
   *
   * <p>Before that, this process knows only itself and would rank itself first, so each restart of
   * a process would move partitions.
   */
  private OptionalInt rank(FleetView fleet) {
    return instances.loaded()
        ? OptionalInt.of(fleet.rankOfSelf(JOBS, clock.instant()))
        : OptionalInt.empty();
  }

  private void bindReadiness() {
    ReadyServer readiness = new ReadyServer(this::ready, new MetricsText(metrics), log);
    readiness.bind(loop, settings.ready());
    readiness.bind(loop, settings.metrics());
  }

  private void beginStop(CountDownLatch done) {
    stopping = true;
    log.important("process", "stopping").with("active", front.active()).write();
    instances.leave();
    front.drain();
    Instant now = clock.instant();
    Instant latest = now.plus(settings.stopTime()).minus(STOP_MARGIN);
    Instant earliest = now.plus(ACCEPT_AFTER_STOP);
    loop.schedule(this::stopAccepting, ACCEPT_AFTER_STOP.toMillis(), TimeUnit.MILLISECONDS);
    pollStop(earliest, latest, done);
  }

  /**
   * Stops accepting connections and requests.
   *
   * <p>The load balancer may send connections to a process that is not ready if few other processes
   * of its data centre are ready, and callers reuse open connections. Requests would then arrive
   * until the end, and the last ones would be cut off. Once the load balancer has had time to
   * notice the stop, the process refuses connections and requests, and callers switch to other
   * processes at once.
   */
  private void stopAccepting() {
    handler.refuseNewRequests();
    front.stopAccepting();
    log.important("process", "accepts.no.more").with("active", front.active()).write();
  }

  private void pollStop(Instant earliest, Instant latest, CountDownLatch done) {
    Instant now = clock.instant();
    boolean idle = front.active() == 0;
    if ((idle && now.isAfter(earliest)) || now.isAfter(latest)) {
      jobs.stop();
      lines.write();
      log.important("process", "stopped").with("active", front.active()).write();
      handler.refuseNewRequests();
      front.shutDown();
      loop.schedule(done::countDown, STOP_POLL.toMillis(), TimeUnit.MILLISECONDS);
      return;
    }
    loop.schedule(
        () -> pollStop(earliest, latest, done), STOP_POLL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private boolean ready() {
    return !stopping && config.current().isPresent() && endpoints.loaded();
  }

  private KeyedFollower follow(
      LogStore store, String topic, Duration wait, KeyedFollower.Listener listener) {
    KeyedFollower follower = new KeyedFollower(store, topic, 0, wait, loop, clock, log, listener);
    loop.execute(follower::start);
    return follower;
  }
}

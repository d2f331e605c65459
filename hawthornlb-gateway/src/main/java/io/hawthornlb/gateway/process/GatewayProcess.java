package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.event.PeriodicLines;
import io.hawthornlb.gateway.front.ConfigCheck;
import io.hawthornlb.gateway.front.ForwardingHandler;
import io.hawthornlb.gateway.front.FrontServer;
import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.http.NettyHttpCaller;
import io.hawthornlb.gateway.job.JobFormat;
import io.hawthornlb.gateway.job.JobParts;
import io.hawthornlb.gateway.job.JobRunners;
import io.hawthornlb.gateway.loop.ThreadTimes;
import io.hawthornlb.gateway.loop.WorkReport;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.metric.MetricsText;
import io.hawthornlb.gateway.metric.TrafficLog;
import io.hawthornlb.gateway.peer.CountedPeerTransport;
import io.hawthornlb.gateway.peer.FleetSlotClient;
import io.hawthornlb.gateway.peer.FleetView;
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
import io.hawthornlb.gateway.store.KeyedFollower;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.support.CountedLogStore;
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

/** A running gateway: everything that touches a request runs on one event loop. */
public final class GatewayProcess {

  /** Time for which connections are still taken after a stop; the balancer needs two misses. */
  private static final Duration LINGER = Duration.ofMillis(2_600);

  /** Kept free at the end of the time to stop, so that the process ends by itself. */
  private static final Duration STOP_MARGIN = Duration.ofMillis(700);

  /** Key by which processes are ranked to share the partitions of jobs. */
  private static final String JOBS = "jobs";

  private static final Duration STOP_POLL = Duration.ofMillis(50);

  private final GatewaySettings settings;
  private final EventLoop loop;
  private final InstantSource clock;
  private final EventLog log;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final ConfigHolder config = new ConfigHolder();
  private final EndpointDirectory directory = new EndpointDirectory();
  private final EndpointSource endpoints;
  private final InstanceSource instances;
  private final ForwardingHandler handler;
  private final FrontServer front;
  private final JobRunners jobs;
  private final PeriodicLines lines;
  private boolean stopping;

  /** Starts a gateway on an event loop. */
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
    RelayTransport links = new TcpRelayTransport(loop);
    RelayingHttpCaller caller = relaying(direct, links, fleet);
    LogStore store = new CountedLogStore(access.client().apply(caller), metrics);
    PeerTransport transport = datagrams();
    FleetSlotClient slots = new FleetSlotClient(fleet, transport, directory, loop, clock, log);
    EndpointPool pool = new EndpointPool(loop, names, clock, metrics);
    directory.onRemoval(endpoint -> pool.forget(endpoint.life()));
    directory.onNewLife(pool::begun);
    endpoints = new EndpointSource(formats, directory, loop, clock, log);
    instances = new InstanceSource(fleet, store, loop, clock, log);
    jobs =
        new JobRunners(
            jobParts(slots, pool, names, store),
            jobFormat,
            new PeerHoldNotices(fleet, transport),
            new RelayJobPeers(fleet, links, clock),
            settings.jobPartitions(),
            () -> rank(fleet));
    new RelayServer(direct, access.address(), caller::storeUnavailable, log)
        .bind(loop, settings.self().address(), new RelayedJobCalls(jobs.router(), clock));
    ConfigSource configs = new ConfigSource(formats, config, clock, log);
    Duration wait = KeyedFollower.waitWithin(settings.changeTime());
    KeyedFollower routes = follow(store, formats.configTopic(), wait, configs);
    caller.onStoreRecovered(routes::readNow);
    ConfigCheck check = new ConfigCheck(routes, settings.changeTime(), loop);
    handler =
        new ForwardingHandler(
            new ForwardingHandler.Parts(
                config,
                check,
                directory,
                slots,
                pool,
                names,
                jobs.router(),
                settings.self().dataCentre(),
                loop,
                clock,
                log,
                metrics));
    front = new FrontServer(handler, config, check, clock, log);
    caller.onStoreRecovered(follow(store, formats.endpointTopic(), wait, endpoints)::readNow);
    caller.onStoreRecovered(
        follow(store, InstanceSource.TOPIC, KeyedFollower.RELAXED_WAIT, instances)::readNow);
    instances.announce();
    loop.execute(jobs::start);
    lines = lines();
    lines.start();
    front.bind(loop, settings.front());
    bindReadiness();
    log.important("process", "started").with("instance", settings.self().name()).write();
  }

  /** Stops taking connections, ends what is being handled, and returns when that is done. */
  public void stop() {
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(() -> beginStop(done));
    try {
      done.await(settings.stopTime().toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the lines about processor time and traffic. */
  private PeriodicLines lines() {
    WorkReport work = new WorkReport(loop, new ThreadTimes(), log);
    TrafficLog traffic = new TrafficLog(metrics, log);
    return new PeriodicLines(loop, List.of(work::write, traffic::write));
  }

  /** Returns what calls the store, by peers if need be. */
  private RelayingHttpCaller relaying(HttpCaller direct, RelayTransport links, FleetView fleet) {
    return new RelayingHttpCaller(
        direct,
        links,
        () -> fleet.rankedOthers(settings.self().name(), clock.instant()),
        clock,
        log);
  }

  private PeerTransport datagrams() {
    UdpPeerTransport transport =
        new UdpPeerTransport(loop, settings.self().address(), settings.self().name(), clock, log);
    return new CountedPeerTransport(transport, metrics);
  }

  private JobParts jobParts(
      FleetSlotClient slots, EndpointPool pool, HeaderNames names, LogStore store) {
    return new JobParts(
        config,
        directory,
        slots,
        pool,
        names,
        store,
        settings.resultRetention(),
        settings.self().dataCentre(),
        loop,
        clock,
        log,
        metrics);
  }

  /**
   * Returns the place of this process among those that may share the partitions of jobs.
   *
   * <p>Before the list is read this process knows of itself alone and would take itself for the
   * first one: each restart of any process would move partitions.
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
    Instant earliest = now.plus(LINGER);
    loop.schedule(this::stopAccepting, LINGER.toMillis(), TimeUnit.MILLISECONDS);
    pollStop(earliest, latest, done);
  }

  /**
   * Takes no requests from now on.
   *
   * <p>Failure: the balancer sends connections to a process that is not ready when few others of
   * its data centre are, and callers use connections that they kept. It shows as requests that come
   * until the end, and of which the last are cut. Guard: once the balancer has had time to notice,
   * neither connections nor requests are taken, and callers go to other processes at once.
   */
  private void stopAccepting() {
    handler.stopTaking();
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
      handler.stopTaking();
      front.end();
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

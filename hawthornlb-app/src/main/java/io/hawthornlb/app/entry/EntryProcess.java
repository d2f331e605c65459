package io.hawthornlb.app.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.app.dispatch.ChatDispatcher;
import io.hawthornlb.app.dispatch.PlainDispatcher;
import io.hawthornlb.app.http.ReadinessSource;
import io.hawthornlb.app.settings.EntrySettings;
import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.net.endpoint.EndpointClient;
import io.hawthornlb.net.endpoint.support.EndpointClientSettings;
import io.hawthornlb.net.endpoint.support.HttpEndpointClient;
import io.hawthornlb.net.platform.support.HttpInstanceListClient;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** One running entry instance, from its start to its graceful stop. */
public final class EntryProcess implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger(EntryProcess.class.getName());
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration MONITOR_PAUSE = Duration.ofMillis(250);
  private static final Duration LIST_PAUSE = Duration.ofSeconds(1);
  private static final Duration DRAIN_CHECK = Duration.ofMillis(50);
  private static final Duration WITHDRAW_TIMEOUT = Duration.ofSeconds(2);

  private final EntrySettings settings;
  private final InstantSource clock = new MonotonicInstantSource();
  private final DecisionLoop loop = new DecisionLoop();
  private final ObjectMapper mapper = new ObjectMapper();
  private final CatalogueHolder catalogue = new CatalogueHolder();
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final EndpointClient endpoints = new HttpEndpointClient(EndpointClientSettings.DEFAULT);
  private final HttpInstanceListClient instances;
  private final OnlinePolicies policies;
  private final CoreOnlineDecisions decisions;
  private final EndpointMonitor monitor;
  private final EntryServer server;
  private volatile boolean listKnown;
  private volatile boolean stopping;

  private EntryProcess(EntrySettings settings) {
    this.settings = settings;
    this.instances = new HttpInstanceListClient(settings.platform().uri());
    this.policies =
        PolicyFactory.create(settings.instance().id(), settings.instance().dataCentre());
    this.decisions = createDecisions();
    this.monitor = new EndpointMonitor(endpoints, mapper, loop, new MonitorEvents(policies, clock));
    this.server = EntryServer.start(settings.http(), services());
  }

  /** Starts an instance and returns it once it listens. */
  public static EntryProcess start(EntrySettings settings) {
    EntryProcess process = new EntryProcess(settings);
    process.startTasks();
    LOG.log(
        System.Logger.Level.INFO,
        "entry: {0} listens on port {1,number,#}",
        settings.instance().id(),
        process.server.port());
    return process;
  }

  /** Returns the port for callers. */
  public int port() {
    return server.port();
  }

  /** Returns the catalogue in force on this instance. */
  public CatalogueHolder catalogue() {
    return catalogue;
  }

  /** Finishes the requests in progress within the drain time, then ends everything. */
  @Override
  public void close() {
    stopping = true;
    announce(ListedState.LEAVING);
    loop.execute(decisions::stop);
    awaitDrained(clock.instant().plus(settings.limits().drain()));
    withdraw();
    server.close();
    loop.close();
    endpoints.close();
    instances.close();
    LOG.log(System.Logger.Level.INFO, "entry: {0} stopped", settings.instance().id());
  }

  private CoreOnlineDecisions createDecisions() {
    return new CoreOnlineDecisions(
        loop,
        policies,
        new ProbingCrashDetector(endpoints),
        effects -> {},
        new RequestMeters(meters),
        settings.instance().dataCentre(),
        clock);
  }

  private EntryServer.Services services() {
    ReadinessSource readiness = this::obstacles;
    return new EntryServer.Services(
        new ChatDispatcher(decisions, endpoints, mapper, clock, EntryProcess::requestId),
        new PlainDispatcher(decisions, endpoints, clock, EntryProcess::requestId),
        catalogue,
        readiness,
        meters,
        List.of());
  }

  private static RequestId requestId() {
    return new RequestId(UUID.randomUUID().toString());
  }

  private void startTasks() {
    loop.every(TICK, decisions::tick);
    loop.every(MONITOR_PAUSE, this::monitorEndpoints);
    new InstanceListPoller(
            loop, instances, list -> takeList(list.processes(), list.asOf()), LIST_PAUSE)
        .start();
    announce(ListedState.LIVE);
  }

  private void takeList(List<ListedProcess> processes, Instant asOf) {
    policies.endpoints().onList(processes, asOf, clock.instant());
    listKnown = true;
  }

  private void monitorEndpoints() {
    catalogue
        .current()
        .catalogue()
        .services()
        .keySet()
        .forEach(service -> monitor.poll(policies.endpoints().of(service)));
    monitor.probe(policies.endpoints().probesDue(clock.instant()));
  }

  private void announce(ListedState state) {
    instances
        .announce(
            new ListedProcess(
                settings.instance().id().value(),
                ListedKind.ENTRY,
                Optional.empty(),
                settings.instance().dataCentre(),
                settings.peers().address().toString(),
                state))
        .exceptionally(
            failure -> {
              LOG.log(System.Logger.Level.INFO, "instances: could not announce {0}", state);
              return null;
            });
  }

  private void withdraw() {
    CompletionStage<Void> withdrawn = instances.withdraw(settings.instance().id().value());
    try {
      withdrawn.toCompletableFuture().get(WITHDRAW_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.util.concurrent.ExecutionException | TimeoutException e) {
      LOG.log(System.Logger.Level.INFO, "instances: could not withdraw, the list will notice");
    }
  }

  private void awaitDrained(Instant until) {
    while (clock.instant().isBefore(until)) {
      Integer left = loop.<Integer>ask(sink -> sink.success(decisions.inProgress())).block();
      if (left == null || left == 0) {
        return;
      }
      try {
        TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
    LOG.log(System.Logger.Level.WARNING, "entry: drain time over with requests in progress");
  }

  private List<Finding> obstacles() {
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

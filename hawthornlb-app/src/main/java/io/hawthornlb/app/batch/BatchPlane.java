package io.hawthornlb.app.batch;

import static io.hawthornlb.app.entry.MessageHandlers.oneWay;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.app.entry.CatalogueHolder;
import io.hawthornlb.app.entry.CrashDetector;
import io.hawthornlb.app.entry.DecisionLoop;
import io.hawthornlb.app.entry.EffectSink;
import io.hawthornlb.app.entry.LogAccess;
import io.hawthornlb.app.entry.OnlinePolicies;
import io.hawthornlb.app.partition.PartitionHosts;
import io.hawthornlb.core.batch.DispatcherSettings;
import io.hawthornlb.core.batch.ItemRef;
import io.hawthornlb.core.batch.OnlineNotice;
import io.hawthornlb.core.batch.PullItems;
import io.hawthornlb.core.batch.support.HeadroomDispatcher;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.claim.ClaimView;
import io.hawthornlb.core.effect.BroadcastPeerMessage;
import io.hawthornlb.core.effect.BroadcastScope;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.job.ItemKey;
import io.hawthornlb.core.job.ItemsCancelled;
import io.hawthornlb.core.job.ItemsDispatched;
import io.hawthornlb.core.job.ItemsSettled;
import io.hawthornlb.core.job.PullJobItems;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.net.endpoint.EndpointClient;
import io.hawthornlb.net.peer.PeerHandlerRegistry;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Wires batch processing on an instance: the dispatchers of endpoints, and the messages between
 * dispatchers and the holders of partitions.
 */
public final class BatchPlane {

  private static final System.Logger LOG = System.getLogger(BatchPlane.class.getName());

  private final InstanceId self;
  private final OnlinePolicies policies;
  private final CatalogueHolder catalogue;
  private final PartitionHosts partitions;
  private final EffectSink effects;
  private final EndpointClient endpoints;
  private final DecisionLoop loop;
  private final InstantSource clock;
  private final ItemReporter reports;
  private final BatchSuspectTracker suspects;
  private final ItemLoader loader;
  private final BacklogTable backlogs = new BacklogTable(new SplittableRandom());
  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<EndpointId, DispatcherRunner> dispatchers = new HashMap<>();
  private boolean stopping;

  /** Creates the components, without any dispatcher. */
  public BatchPlane(
      InstanceId self,
      OnlinePolicies policies,
      CatalogueHolder catalogue,
      ClaimView claims,
      PartitionHosts partitions,
      LogAccess log,
      EffectSink effects,
      EndpointClient endpoints,
      CrashDetector crashes,
      DecisionLoop loop,
      InstantSource clock) {
    this.self = self;
    this.policies = policies;
    this.catalogue = catalogue;
    this.partitions = partitions;
    this.effects = effects;
    this.endpoints = endpoints;
    this.loop = loop;
    this.clock = clock;
    this.reports = new ItemReporter(self, claims, effects);
    this.suspects = new BatchSuspectTracker(policies, crashes, effects, loop, clock);
    this.loader = new ItemLoader(log, mapper);
  }

  /** Registers the handlers of messages between dispatchers and holders. */
  public void register(PeerHandlerRegistry.Builder builder) {
    builder
        .register(BacklogNotice.class, oneWay(notice -> backlogs.onNotice(notice, clock.instant())))
        .register(ItemsDispatched.class, oneWay(this::onDispatched))
        .register(ItemsCancelled.class, oneWay(this::onCancelled))
        .register(ItemsSettled.class, oneWay(reports::onSettled))
        .register(PullJobItems.class, oneWay(this::onPull))
        .register(OnlineNotice.class, oneWay(this::onOnlineNotice));
  }

  /**
   * Sets the endpoints that this instance dispatches to. Starts a dispatcher for each new engine
   * that has reported its load, and stops the dispatchers of endpoints that are no longer assigned.
   * Call this method on the decision loop.
   */
  public void dispatchTo(List<Endpoint> assigned) {
    Set<EndpointId> current = new HashSet<>();
    for (Endpoint endpoint : assigned) {
      if (!stopping && engine(endpoint).isPresent() && endpoint.load().isPresent()) {
        current.add(endpoint.id());
        dispatchers.computeIfAbsent(endpoint.id(), id -> createDispatcher(endpoint));
      }
    }
    Set<EndpointId> removed = new HashSet<>(dispatchers.keySet());
    removed.removeAll(current);
    removed.forEach(id -> dispatchers.remove(id).stop());
  }

  /**
   * Passes a load report to the dispatcher of the endpoint and returns the report with the number
   * of batch items that ran at the time of the report. Call this method on the decision loop.
   */
  public LoadReport completeReport(EndpointId endpoint, LoadReport report) {
    DispatcherRunner dispatcher = dispatchers.get(endpoint);
    if (dispatcher == null) {
      return report;
    }
    dispatcher.onLoad(report);
    return report.withBatch(dispatcher.batchAt(report.asOf()));
  }

  /**
   * Sets the number of online requests of this instance in flight at an endpoint. Call this method
   * on the decision loop.
   */
  public void onOwnRequests(EndpointId endpoint, int inFlight) {
    onOnlineNotice(new OnlineNotice(self, endpoint, inFlight));
  }

  /**
   * Returns whether this instance dispatches batch items to an endpoint. Call this method on the
   * decision loop.
   */
  public boolean dispatchesTo(EndpointId endpoint) {
    return dispatchers.containsKey(endpoint);
  }

  /** Runs the time-dependent work of all dispatchers. Call this method several times a second. */
  public void tick() {
    List.copyOf(dispatchers.values()).forEach(DispatcherRunner::tick);
  }

  /**
   * Broadcasts the backlogs of the partitions held by this instance to all dispatchers. Call this
   * method a few times a second.
   */
  public void sendBacklogs() {
    partitions
        .backlogs()
        .forEach(
            (partition, backlog) -> {
              BacklogNotice notice = new BacklogNotice(self, partition, backlog);
              backlogs.onNotice(notice, clock.instant());
              effects.perform(List.of(new BroadcastPeerMessage(notice, BroadcastScope.FLEET)));
            });
  }

  /**
   * Resends the reports that are not durable yet, and lists the items in progress to their holders.
   * Call this method once a second.
   */
  public void resendReports() {
    Set<ItemKey> inProgress = new HashSet<>();
    for (DispatcherRunner dispatcher : dispatchers.values()) {
      for (ItemRef ref : dispatcher.inProgress()) {
        inProgress.add(new ItemKey(ref.job(), ref.index()));
      }
    }
    reports.resend(inProgress);
  }

  /** Returns all items to the holders. Call this method on the decision loop. */
  public void stop() {
    stopping = true;
    dispatchTo(List.of());
  }

  /** Returns whether every report is durable. Call this method on the decision loop. */
  public boolean settled() {
    return reports.settled();
  }

  private DispatcherRunner createDispatcher(Endpoint endpoint) {
    ServiceEntry service = engine(endpoint).orElseThrow();
    int slots = endpoint.load().map(LoadReport::slots).orElse(1);
    return new DispatcherRunner(
        endpoint.id(),
        endpoint.address(),
        new HeadroomDispatcher(
            endpoint.id(), endpoint.service(), DispatcherSettings.of(service.batchWeight(), slots)),
        endpoints,
        mapper,
        loop,
        clock,
        reports,
        suspects,
        this::pull);
  }

  private Optional<ServiceEntry> engine(Endpoint endpoint) {
    return catalogue
        .current()
        .catalogue()
        .service(endpoint.service())
        .filter(service -> service.kind() == ServiceKind.ENGINE);
  }

  private void pull(PullItems pull) {
    Instant now = clock.instant();
    backlogs
        .next(pull.service(), now)
        .ifPresent(
            source ->
                effects.perform(
                    List.of(
                        new SendPeerMessage(
                            source.holder(),
                            new PullJobItems(
                                self, pull.endpoint(), pull.service(), pull.count())))));
  }

  private void onPull(PullJobItems message) {
    partitions.onPull(message);
  }

  private void onDispatched(ItemsDispatched message) {
    if (message.items().isEmpty()) {
      backlogs.remove(message.partition());
    }
    DispatcherRunner dispatcher = dispatchers.get(message.endpoint());
    if (dispatcher == null) {
      giveBack(message, "the endpoint is no longer assigned");
      return;
    }
    loader
        .load(message)
        .subscribe(
            items -> loop.execute(() -> dispatcher.onItems(items)),
            error -> {
              LOG.log(
                  System.Logger.Level.WARNING,
                  "batch: could not read the items of partition {0}: {1}",
                  message.partition().value(),
                  error.getMessage());
              loop.execute(() -> giveBack(message, "the items cannot be read"));
            });
  }

  private void giveBack(ItemsDispatched message, String cause) {
    message
        .items()
        .forEach(item -> reports.giveBack(new ItemKey(item.job(), item.location().index()), cause));
  }

  private void onCancelled(ItemsCancelled message) {
    for (DispatcherRunner dispatcher : List.copyOf(dispatchers.values())) {
      message.items().forEach(index -> dispatcher.cancel(new ItemRef(message.job(), index)));
    }
  }

  private void onOnlineNotice(OnlineNotice notice) {
    DispatcherRunner dispatcher = dispatchers.get(notice.endpoint());
    if (dispatcher != null) {
      dispatcher.onOnline(notice.sender(), notice.inFlight());
    }
  }
}

package io.hawthornlb.app.batch;

import static io.hawthornlb.app.entry.MessageHandlers.heard;

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

/** Batch work on this instance: stewards of endpoints, and what they exchange with holders. */
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
  private final ReportDesk reports;
  private final SuspectGate suspects;
  private final ItemLoader loader;
  private final BacklogBoard board = new BacklogBoard(new SplittableRandom());
  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<EndpointId, StewardHost> hosts = new HashMap<>();
  private boolean stopping;

  /** Creates the plane without stewards. */
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
    this.reports = new ReportDesk(self, claims, effects);
    this.suspects = new SuspectGate(policies, crashes, effects, loop, clock);
    this.loader = new ItemLoader(log, mapper);
  }

  /** Adds the handlers of messages between stewards and holders. */
  public void register(PeerHandlerRegistry.Builder builder) {
    builder
        .register(BacklogNotice.class, heard(notice -> board.note(notice, clock.instant())))
        .register(ItemsDispatched.class, heard(this::dispatched))
        .register(ItemsCancelled.class, heard(this::cancelled))
        .register(ItemsSettled.class, heard(reports::forget))
        .register(PullJobItems.class, heard(this::pulled))
        .register(OnlineNotice.class, heard(this::heardOnline));
  }

  /** Takes the endpoints whose steward this instance is now; on the loop. */
  public void stewarding(List<Endpoint> stewarded) {
    Set<EndpointId> now = new HashSet<>();
    for (Endpoint endpoint : stewarded) {
      if (!stopping && engine(endpoint).isPresent() && endpoint.load().isPresent()) {
        now.add(endpoint.id());
        hosts.computeIfAbsent(endpoint.id(), id -> host(endpoint));
      }
    }
    Set<EndpointId> over = new HashSet<>(hosts.keySet());
    over.removeAll(now);
    over.forEach(id -> hosts.remove(id).stop());
  }

  /** Completes a load report with the batch items of the endpoint; on the loop. */
  public LoadReport completed(EndpointId endpoint, LoadReport report) {
    StewardHost host = hosts.get(endpoint);
    if (host == null) {
      return report;
    }
    host.load(report);
    return report.withBatch(host.batchAt(report.asOf()));
  }

  /** Takes the number of own online requests in flight at an endpoint; on the loop. */
  public void online(EndpointId endpoint, int inFlight) {
    heardOnline(new OnlineNotice(self, endpoint, inFlight));
  }

  /** Returns whether this instance sends batch items to an endpoint; on the loop. */
  public boolean stewards(EndpointId endpoint) {
    return hosts.containsKey(endpoint);
  }

  /** Lets stewards do what time calls for; several times a second. */
  public void tick() {
    List.copyOf(hosts.values()).forEach(StewardHost::tick);
  }

  /** Tells stewards of items to give out; a few times a second. */
  public void sendBacklogs() {
    partitions
        .backlogs()
        .forEach(
            (partition, backlog) -> {
              BacklogNotice notice = new BacklogNotice(self, partition, backlog);
              board.note(notice, clock.instant());
              effects.perform(List.of(new BroadcastPeerMessage(notice, BroadcastScope.FLEET)));
            });
  }

  /** Sends reports again and names what is in progress; once a second. */
  public void repeatReports() {
    Set<ItemKey> inProgress = new HashSet<>();
    for (StewardHost host : hosts.values()) {
      for (ItemRef ref : host.inProgress()) {
        inProgress.add(new ItemKey(ref.job(), ref.index()));
      }
    }
    reports.repeat(inProgress);
  }

  /** Gives everything back to the holders; on the loop. */
  public void stop() {
    stopping = true;
    stewarding(List.of());
  }

  /** Returns whether every report is durable; on the loop. */
  public boolean settled() {
    return reports.settled();
  }

  private StewardHost host(Endpoint endpoint) {
    ServiceEntry service = engine(endpoint).orElseThrow();
    int slots = endpoint.load().map(LoadReport::slots).orElse(1);
    return new StewardHost(
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
    board
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

  private void pulled(PullJobItems message) {
    partitions.pulled(message);
  }

  private void dispatched(ItemsDispatched message) {
    if (message.items().isEmpty()) {
      board.empty(message.partition());
    }
    StewardHost host = hosts.get(message.endpoint());
    if (host == null) {
      return;
    }
    loader
        .load(message)
        .subscribe(
            items -> loop.execute(() -> host.items(items)),
            error ->
                LOG.log(
                    System.Logger.Level.WARNING,
                    "batch: items of partition {0} cannot be read now: {1}",
                    message.partition().value(),
                    error.getMessage()));
  }

  private void cancelled(ItemsCancelled message) {
    for (StewardHost host : List.copyOf(hosts.values())) {
      message.items().forEach(index -> host.cancelled(new ItemRef(message.job(), index)));
    }
  }

  private void heardOnline(OnlineNotice notice) {
    StewardHost host = hosts.get(notice.endpoint());
    if (host != null) {
      host.online(notice.sender(), notice.inFlight());
    }
  }
}

package io.hawthornlb.gateway.peer;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.LimitDecision;
import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.core.workspace.WorkspaceLimit;
import io.hawthornlb.core.workspace.support.TokenLedger;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Limits the requests of workspaces at the coordinators of the services, which decide about each
 * request anyway.
 *
 * <p>A workspace's requests go to several services. Every 100 ms each coordinator tells the
 * coordinators of all services, and the instances next in their order, how many requests it has
 * allowed. Their ledgers take as many tokens, so that one limit holds for all services, and a
 * successor of a lost coordinator knows the tokens that are left.
 */
public final class FleetQuota implements RequestQuota {

  private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

  /** Number of instances of a service's order that know the counts of allowed requests. */
  private static final int INFORMED = 2;

  /**
   * Time for which the ledger of an instance that is not informed counts as known after its last
   * decision.
   */
  private static final Duration KNOWN_TIME = Duration.ofSeconds(5);

  /**
   * Part of an instance's share of the fleet that it allows while it decides alone. The other
   * instances do not notice that a single one is missing, and allow the whole limit.
   */
  private static final double ALONE_PART = 0.5;

  /** Number of workspaces in one report, so that a report fits one datagram. */
  private static final int MAX_REPORTED = 50;

  private final FleetView fleet;
  private final PeerTransport transport;
  private final ReachableFleet reachable;
  private final ConfigHolder config;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final TokenLedger ledger;
  private boolean informed;
  private Instant knownUntil;
  private boolean reporting;

  /** Creates the quota of a process that has just started. */
  public FleetQuota(
      FleetView fleet,
      PeerTransport transport,
      ConfigHolder config,
      ScheduledExecutorService executor,
      InstantSource clock) {
    this.fleet = fleet;
    this.transport = transport;
    this.reachable = new ReachableFleet(fleet, transport);
    this.config = config;
    this.executor = executor;
    this.clock = clock;
    this.ledger = new TokenLedger(clock.instant());
    this.knownUntil = clock.instant().plus(KNOWN_TIME);
    transport.onMessage(this::onMessage);
  }

  @Override
  public LimitDecision charge(SlotRequest request, Instant now) {
    WorkspaceId workspace = request.workspace();
    WorkspaceLimit limit = request.charged() && workspace != null ? limit(workspace) : null;
    if (workspace == null || limit == null) {
      return LimitDecision.ALLOWED;
    }
    forgetUnlessKnown(now);
    ledger.share(share(request, now));
    LimitDecision decision = ledger.decide(workspace, limit, now);
    if (decision.allowed()) {
      scheduleReport();
    }
    return decision;
  }

  @Override
  public void refund(SlotRequest request, Instant now) {
    WorkspaceId workspace = request.workspace();
    if (workspace != null && request.charged() && limit(workspace) != null) {
      ledger.refund(workspace);
      scheduleReport();
    }
  }

  @Override
  public void refundElsewhere(SlotRequest request, Instant now) {
    WorkspaceId workspace = request.workspace();
    if (workspace != null && request.charged() && limit(workspace) != null) {
      ledger.refundElsewhere(workspace);
      scheduleReport();
    }
  }

  private @Nullable WorkspaceLimit limit(WorkspaceId workspace) {
    return config
        .current()
        .flatMap(RoutingConfig::workspaces)
        .flatMap(registry -> registry.find(workspace))
        .map(Workspace::limit)
        .orElse(null);
  }

  /** Starts a new ledger if requests may have been allowed elsewhere that it does not know. */
  private void forgetUnlessKnown(Instant now) {
    boolean wasInformed = informed;
    informed = isInformed(now);
    if (!(informed && wasInformed) && now.isAfter(knownUntil)) {
      ledger.restart(now);
    }
    knownUntil = now.plus(KNOWN_TIME);
  }

  private boolean isInformed(Instant now) {
    return services().stream().anyMatch(service -> informedOf(service, now).contains(fleet.self()));
  }

  private List<GatewayInstance> informedOf(String service, Instant now) {
    List<GatewayInstance> ranked = fleet.ranked(service, now);
    return ranked.subList(0, Math.min(INFORMED, ranked.size()));
  }

  private Set<String> services() {
    Optional<RoutingConfig> current = config.current();
    return current.map(RoutingConfig::services).orElse(Set.of());
  }

  private double share(SlotRequest request, Instant now) {
    boolean own = request.key().holder().equals(fleet.self().boot());
    boolean first = fleet.ranked(request.service(), now).indexOf(fleet.self()) == 0;
    return own && !first ? ALONE_PART / (fleet.others().size() + 1) : reachable.share(now);
  }

  private void onMessage(PeerCodec.Envelope envelope) {
    Instant now = clock.instant();
    reachable.recordContact(envelope.sender(), now);
    if (envelope.message() instanceof PeerMessage.Allowed allowed) {
      allowed.counts().forEach((workspace, count) -> recordAllowed(workspace, count, now));
    } else if (envelope.message() instanceof PeerMessage.Ping) {
      GatewayInstance sender = fleet.lastKnown(envelope.sender());
      if (sender != null) {
        transport.send(sender, new PeerMessage.Pong());
      }
    }
  }

  private void recordAllowed(WorkspaceId workspace, int count, Instant now) {
    WorkspaceLimit limit = limit(workspace);
    if (limit != null) {
      ledger.recordAllowedElsewhere(workspace, limit, count, now);
    }
  }

  private void scheduleReport() {
    if (!reporting) {
      reporting = true;
      executor.schedule(this::report, REPORT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void report() {
    reporting = false;
    Instant now = clock.instant();
    Set<GatewayInstance> receivers = new LinkedHashSet<>();
    services().forEach(service -> receivers.addAll(informedOf(service, now)));
    receivers.remove(fleet.self());
    Map<WorkspaceId, Integer> counts = new HashMap<>();
    ledger
        .takeAllowed()
        .forEach(
            (workspace, count) -> {
              counts.put(workspace, count);
              if (counts.size() >= MAX_REPORTED) {
                send(receivers, counts);
              }
            });
    send(receivers, counts);
  }

  private void send(Set<GatewayInstance> receivers, Map<WorkspaceId, Integer> counts) {
    if (!counts.isEmpty()) {
      PeerMessage message = new PeerMessage.Allowed(Map.copyOf(counts));
      receivers.forEach(receiver -> transport.send(receiver, message));
      counts.clear();
    }
  }
}

package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.slot.DemandReport;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotCoordinator;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import io.hawthornlb.gateway.slot.support.DefaultSlotCoordinator;
import io.hawthornlb.gateway.slot.support.SlotSettings;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The coordinators of services for which other processes, or this process itself, ask this process
 * for slots.
 */
final class LocalCoordinators {

  /** Interval at which a coordinator checks the requests that wait. */
  private static final Duration TICK = Duration.ofMillis(20);

  private final FleetView fleet;
  private final PeerTransport transport;
  private final EndpointDirectory directory;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final RequestQuota quota;
  private final SlotSettings settings;
  private final PaceObservation paces;
  private final LearnedStateReplicator learned;
  private final Consumer<SlotAnswer> onOwnAnswer;
  private final Map<String, SlotCoordinator> coordinators = new HashMap<>();

  /**
   * Names of the processes by boot id; answers to a holder are sent to the process with that name.
   */
  private final Map<String, String> senders = new HashMap<>();

  private BiConsumer<String, DemandReport> onDemand = (service, report) -> {};
  private boolean ticking;

  /**
   * Creates coordinators that do all their work on the executor.
   *
   * @param onOwnAnswer receives the answers to requests of this process
   */
  LocalCoordinators(
      FleetView fleet,
      PeerTransport transport,
      EndpointDirectory directory,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log,
      RequestQuota quota,
      SchedulingSettings scheduling,
      PaceObservation paces,
      LearnedStateReplicator learned,
      Consumer<SlotAnswer> onOwnAnswer) {
    this.fleet = fleet;
    this.transport = transport;
    this.directory = directory;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
    this.quota = quota;
    this.settings = SlotSettings.builder().scheduling(scheduling).build();
    this.paces = paces;
    this.learned = learned;
    this.onOwnAnswer = onOwnAnswer;
  }

  /** Sets the receiver of the demand of each service whose decisions use its forecast. */
  void onDemand(BiConsumer<String, DemandReport> receiver) {
    onDemand = receiver;
  }

  /** Handles a request for a slot. */
  void request(SlotRequest request) {
    deliver(serving(request.service()).request(request, clock.instant()));
    scheduleTick();
  }

  /** Handles the release of a slot or the end of a wait. */
  void release(String service, SlotKey key, SlotOutcome outcome) {
    deliver(of(service).release(key, outcome, clock.instant()));
  }

  /** Handles a report that the endpoint of a slot is silent. */
  void suspect(String service, SlotKey key) {
    of(service).suspect(key, clock.instant());
  }

  /** Handles the load that the endpoint of a slot reported. */
  void reportLoad(String service, SlotKey key, ReportedLoad load) {
    of(service).reportLoad(key, load, clock.instant());
  }

  /** Renews the leases of a holder. */
  void renew(String service, String holder, List<SlotUse> uses) {
    serving(service).renew(holder, uses, clock.instant());
    scheduleTick();
  }

  /** Handles a message to a coordinator; ignores all others. */
  void onMessage(PeerCodec.Envelope envelope) {
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.Ask ask) {
      senders.put(ask.request().key().holder(), envelope.sender());
      request(ask.request());
    } else if (message instanceof PeerMessage.Release release) {
      release(release.service(), release.key(), release.outcome());
    } else if (message instanceof PeerMessage.Suspect suspect) {
      suspect(suspect.service(), suspect.key());
    } else if (message instanceof PeerMessage.Told told) {
      reportLoad(told.service(), told.key(), told.load());
    } else if (message instanceof PeerMessage.Barred barred) {
      of(barred.service()).blockRequest(barred.fingerprint(), clock.instant());
    } else if (message instanceof PeerMessage.Renew renew) {
      senders.put(renew.holder(), envelope.sender());
      renew(renew.service(), renew.holder(), renew.uses());
    } else if (message instanceof PeerMessage.Learned received) {
      learned.onMessage(envelope.sender(), received);
    }
  }

  /** Returns the coordinator of a service for which other processes take this process. */
  private SlotCoordinator serving(String service) {
    SlotCoordinator coordinator = of(service);
    learned.serving(service, coordinator.learned(), clock.instant());
    return coordinator;
  }

  private SlotCoordinator of(String service) {
    return coordinators.computeIfAbsent(
        service,
        name -> {
          DefaultSlotCoordinator created =
              new DefaultSlotCoordinator(
                  name, directory, settings, quota, fingerprint -> onBlocked(name, fingerprint));
          paces.observe(name, created);
          return created;
        });
  }

  private void onBlocked(String service, long fingerprint) {
    log.important("slot", "request.barred")
        .with("service", service)
        .with("fingerprint", Long.toHexString(fingerprint))
        .write();
    PeerMessage.Barred notice = new PeerMessage.Barred(service, fingerprint);
    fleet.others().forEach(other -> transport.send(other, notice));
  }

  private void deliver(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      if (answer.key().holder().equals(fleet.self().boot())) {
        onOwnAnswer.accept(answer);
        continue;
      }
      String name = senders.get(answer.key().holder());
      GatewayInstance holder = name == null ? null : fleet.lastKnown(name);
      if (holder != null) {
        transport.send(holder, new PeerMessage.Answer(answer));
      }
    }
  }

  private void scheduleTick() {
    if (!ticking) {
      ticking = true;
      executor.schedule(this::tick, TICK.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void tick() {
    ticking = false;
    Instant now = clock.instant();
    boolean busy = false;
    for (Map.Entry<String, SlotCoordinator> each : List.copyOf(coordinators.entrySet())) {
      SlotCoordinator coordinator = each.getValue();
      deliver(coordinator.tick(now));
      coordinator.demand(now).ifPresent(report -> onDemand.accept(each.getKey(), report));
      busy |= coordinator.busy();
    }
    paces.update(now);
    if (busy) {
      scheduleTick();
    }
  }
}

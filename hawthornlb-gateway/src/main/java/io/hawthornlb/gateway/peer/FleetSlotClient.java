package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotClient;
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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Requests slots from the coordinator of a service, and acts as the coordinator of some services
 * itself.
 *
 * <p>All processes compute the same order of candidates for a service, and the first candidate that
 * answers is the coordinator. A coordinator that is killed, frozen or partitioned from the network
 * leaves a request for a slot unanswered. The client then repeats the request once, sends it to the
 * next candidate, and finally decides in this process with local knowledge alone. Holders of slots
 * renew their uses at the current coordinator, so a new coordinator knows all uses within a second.
 */
public final class FleetSlotClient implements SlotClient {

  /**
   * Time after which an unanswered request is repeated; a round trip takes 1 to 3 ms, a busy core
   * adds 10 ms.
   */
  private static final Duration RESEND_AFTER = Duration.ofMillis(25);

  /** Number of times a request is sent to one process before the next process is asked. */
  private static final int ATTEMPTS_PER_INSTANCE = 2;

  /** Number of other processes that are asked before this one decides alone. */
  private static final int MAX_INSTANCES_ASKED = 2;

  /** Time beyond the longest wait after which a missing answer counts as a refusal. */
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(60);

  private static final Duration RENEW_EVERY = Duration.ofSeconds(1);

  /** Interval at which a coordinator checks the requests that wait. */
  private static final Duration TICK = Duration.ofMillis(20);

  private final FleetView fleet;
  private final PeerTransport transport;
  private final EndpointDirectory directory;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final RequestQuota quota;
  private final Map<String, SlotCoordinator> coordinators = new HashMap<>();
  private final Map<SlotKey, Pending> pending = new HashMap<>();

  /** Names of the last known coordinators by service. */
  private final Map<String, String> lastCoordinators = new HashMap<>();

  /**
   * Names of the processes by boot id; answers to a holder are sent to the process with that name.
   */
  private final Map<String, String> senders = new HashMap<>();

  private long nextNumber;
  private boolean ticking;
  private boolean renewing;

  /** Creates a client that does all its work on the executor. */
  public FleetSlotClient(
      FleetView fleet,
      PeerTransport transport,
      EndpointDirectory directory,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log,
      RequestQuota quota) {
    this.fleet = fleet;
    this.quota = quota;
    this.transport = transport;
    this.directory = directory;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
    transport.onMessage(this::onMessageReceived);
  }

  @Override
  public SlotKey nextKey() {
    nextNumber++;
    return new SlotKey(fleet.self().boot(), nextNumber);
  }

  @Override
  public void acquire(SlotRequest request, Listener listener) {
    Pending asked = new Pending(request, listener);
    pending.put(request.key(), asked);
    asked.askNextCandidate();
    scheduleRenewal();
  }

  @Override
  public void release(SlotKey key, SlotOutcome outcome) {
    Pending ended = pending.remove(key);
    if (ended == null) {
      return;
    }
    ended.stopTimer();
    SlotOutcome reported = ended.reportedOutcome(outcome);
    GatewayInstance coordinator = ended.coordinator;
    String service = ended.request.service();
    if (coordinator.equals(fleet.self())) {
      deliver(local(service).release(key, reported, clock.instant()));
    } else {
      transport.send(coordinator, new PeerMessage.Release(service, key, reported));
    }
  }

  @Override
  public void suspect(SlotKey key) {
    Pending held = pending.get(key);
    if (held == null) {
      return;
    }
    String service = held.request.service();
    if (held.coordinator.equals(fleet.self())) {
      local(service).suspect(key, clock.instant());
    } else {
      transport.send(held.coordinator, new PeerMessage.Suspect(service, key));
    }
  }

  @Override
  public void reportLoad(SlotKey key, ReportedLoad load) {
    Pending held = pending.get(key);
    if (held == null) {
      return;
    }
    String service = held.request.service();
    if (held.coordinator.equals(fleet.self())) {
      local(service).reportLoad(key, load, clock.instant());
    } else {
      transport.send(held.coordinator, new PeerMessage.Told(service, key, load));
    }
  }

  private SlotCoordinator local(String service) {
    return coordinators.computeIfAbsent(
        service,
        name ->
            new DefaultSlotCoordinator(
                name,
                directory,
                SlotSettings.DEFAULT,
                quota,
                fingerprint -> barred(name, fingerprint)));
  }

  private void barred(String service, long fingerprint) {
    log.important("slot", "request.barred")
        .with("service", service)
        .with("fingerprint", Long.toHexString(fingerprint))
        .write();
    PeerMessage.Barred notice = new PeerMessage.Barred(service, fingerprint);
    fleet.others().forEach(other -> transport.send(other, notice));
  }

  private void onMessageReceived(PeerCodec.Envelope envelope) {
    fleet.recordContact(envelope.sender());
    PeerMessage message = envelope.message();
    Instant now = clock.instant();
    if (message instanceof PeerMessage.Ask ask) {
      senders.put(ask.request().key().holder(), envelope.sender());
      deliver(local(ask.request().service()).request(ask.request(), now));
      scheduleTick();
    } else if (message instanceof PeerMessage.Answer answer) {
      answered(answer.answer(), envelope.sender());
    } else if (message instanceof PeerMessage.Release release) {
      deliver(local(release.service()).release(release.key(), release.outcome(), now));
    } else if (message instanceof PeerMessage.Suspect suspect) {
      local(suspect.service()).suspect(suspect.key(), now);
    } else if (message instanceof PeerMessage.Told told) {
      local(told.service()).reportLoad(told.key(), told.load(), now);
    } else if (message instanceof PeerMessage.Barred barred) {
      local(barred.service()).blockRequest(barred.fingerprint(), now);
    } else if (message instanceof PeerMessage.Renew renew) {
      senders.put(renew.holder(), envelope.sender());
      local(renew.service()).renew(renew.holder(), renew.uses(), now);
      scheduleTick();
    }
  }

  private void deliver(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      if (answer.key().holder().equals(fleet.self().boot())) {
        answered(answer, fleet.self().name());
        continue;
      }
      String name = senders.get(answer.key().holder());
      GatewayInstance holder = name == null ? null : fleet.lastKnown(name);
      if (holder != null) {
        transport.send(holder, new PeerMessage.Answer(answer));
      }
    }
  }

  /**
   * Passes an answer to the request that waits for it.
   *
   * <p>A coordinator that seemed unresponsive may answer after the next coordinator has granted the
   * request. Its refusal would report a running request as not run. The client therefore accepts
   * only answers of the coordinator that was asked last, and releases a slot that another
   * coordinator granted.
   */
  private void answered(SlotAnswer answer, String sender) {
    Pending asked = pending.get(answer.key());
    if (asked != null && asked.coordinator.name().equals(sender)) {
      asked.answered(answer);
    } else if (answer instanceof SlotAnswer.Granted && asked != null) {
      GatewayInstance late = fleet.lastKnown(sender);
      if (late != null) {
        String service = asked.request.service();
        transport.send(late, new PeerMessage.Release(service, answer.key(), SlotOutcome.ABANDONED));
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
    for (SlotCoordinator coordinator : List.copyOf(coordinators.values())) {
      deliver(coordinator.tick(now));
      busy |= coordinator.busy();
    }
    if (busy) {
      scheduleTick();
    }
  }

  private void scheduleRenewal() {
    if (!renewing) {
      renewing = true;
      executor.schedule(this::renew, RENEW_EVERY.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void renew() {
    renewing = false;
    Map<String, List<SlotUse>> uses = uses();
    uses.forEach(
        (service, ofService) -> {
          GatewayInstance coordinator = fleet.ranked(service, clock.instant()).get(0);
          switchCoordinator(coordinator, service);
          renewAt(coordinator, service, ofService);
        });
    if (!uses.isEmpty()) {
      scheduleRenewal();
    }
  }

  /**
   * Returns the slots that this process uses, by service. A service with only waiting requests has
   * an empty list.
   */
  private Map<String, List<SlotUse>> uses() {
    Map<String, List<SlotUse>> uses = new HashMap<>();
    for (Pending held : pending.values()) {
      List<SlotUse> ofService =
          uses.computeIfAbsent(held.request.service(), any -> new ArrayList<>());
      if (held.endpoint != null) {
        ofService.add(held.use(held.endpoint, clock.instant()));
      }
    }
    return uses;
  }

  /**
   * Switches to a new coordinator of a service, and registers all uses and waiting requests of this
   * process there.
   *
   * <p>When a coordinator ends or is partitioned from the network, its successor learns of existing
   * uses only with the next renewal. Until then the successor could grant the same slots a second
   * time, and batch items would keep waiting at the former coordinator. A process that finds a new
   * coordinator therefore sends its uses first, and then repeats all requests that wait.
   */
  private void switchCoordinator(GatewayInstance coordinator, String service) {
    String former = lastCoordinators.put(service, coordinator.name());
    if (former == null || former.equals(coordinator.name())) {
      return;
    }
    renewAt(coordinator, service, uses().getOrDefault(service, List.of()));
    for (Pending each : List.copyOf(pending.values())) {
      if (each.isWaitingAt(former, service)) {
        each.restart();
      }
    }
  }

  private void renewAt(GatewayInstance coordinator, String service, List<SlotUse> uses) {
    String holder = fleet.self().boot();
    if (coordinator.equals(fleet.self())) {
      local(service).renew(holder, uses, clock.instant());
      scheduleTick();
    } else {
      transport.send(coordinator, new PeerMessage.Renew(service, holder, uses));
    }
  }

  /** A request for a slot, from the first attempt until the use of the slot has ended. */
  private final class Pending {

    private final SlotRequest request;
    private final Listener listener;
    private GatewayInstance coordinator = fleet.self();
    private int attempts;
    private int asked;
    private boolean queued;
    private @Nullable EndpointIncarnation endpoint;
    private Instant grantedAt = Instant.MAX;
    private @Nullable ScheduledFuture<?> timer;

    private Pending(SlotRequest request, Listener listener) {
      this.request = request;
      this.listener = listener;
    }

    private void askNextCandidate() {
      List<GatewayInstance> ranked = fleet.ranked(request.service(), clock.instant());
      boolean alone = asked >= MAX_INSTANCES_ASKED || ranked.isEmpty();
      coordinator = alone ? fleet.self() : ranked.get(0);
      asked++;
      attempts = 0;
      if (!alone) {
        switchCoordinator(coordinator, request.service());
      }
      ask();
    }

    private boolean isWaitingAt(String instance, String service) {
      return pending.get(request.key()) == this
          && queued
          && coordinator.name().equals(instance)
          && request.service().equals(service);
    }

    private void restart() {
      stopTimer();
      queued = false;
      asked = 0;
      askNextCandidate();
    }

    private void ask() {
      if (coordinator.equals(fleet.self())) {
        deliver(local(request.service()).request(request, clock.instant()));
        scheduleTick();
        return;
      }
      attempts++;
      transport.send(coordinator, new PeerMessage.Ask(request));
      timer = executor.schedule(this::onNoAnswer, RESEND_AFTER.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void onNoAnswer() {
      if (pending.get(request.key()) != this) {
        return;
      }
      if (attempts < ATTEMPTS_PER_INSTANCE) {
        ask();
        return;
      }
      fleet.recordSilence(coordinator.name(), clock.instant());
      log.important("slot", "coordinator.silent")
          .with("service", request.service())
          .with("instance", coordinator.name())
          .write();
      askNextCandidate();
    }

    private void answered(SlotAnswer answer) {
      boolean granted = endpoint != null;
      if (granted && !(answer instanceof SlotAnswer.Revoked)) {
        // The coordinator answered a repeated request twice.
        return;
      }
      stopTimer();
      queued = answer instanceof SlotAnswer.Waiting;
      if (answer instanceof SlotAnswer.Waiting waiting) {
        Duration longest = waiting.atMost().plus(ANSWER_MARGIN);
        timer = executor.schedule(this::onAnswerLost, longest.toMillis(), TimeUnit.MILLISECONDS);
      } else if (answer instanceof SlotAnswer.Granted grant) {
        // The later of two incarnations is the running one: either the endpoint is at the address
        // that this process's list has, or it has restarted since.
        EndpointIncarnation listed =
            directory
                .find(grant.endpoint())
                .map(EndpointRecord::incarnation)
                .orElse(grant.incarnation());
        EndpointIncarnation incarnation =
            listed.follows(grant.incarnation()) ? listed : grant.incarnation();
        endpoint = incarnation;
        grantedAt = clock.instant();
        listener.onAnswer(new SlotAnswer.Granted(request.key(), incarnation));
      } else {
        pending.remove(request.key());
        listener.onAnswer(answer);
      }
    }

    /**
     * Returns the outcome that is reported to the coordinator.
     *
     * <p>The coordinator may know of an endpoint's restart before this process does. Requests of
     * this process then go to the endpoint's former address, and the pause that follows such a
     * failure would be applied to the new incarnation. A failure caused by an outdated list of this
     * process is therefore reported as {@link SlotOutcome#ABANDONED}, which counts against no
     * endpoint.
     */
    private SlotOutcome reportedOutcome(SlotOutcome outcome) {
      boolean notThere = outcome == SlotOutcome.REPLACED || outcome == SlotOutcome.UNREACHED;
      boolean behind = endpoint != null && directory.isNewerThanKnown(endpoint);
      return notThere && behind ? SlotOutcome.ABANDONED : outcome;
    }

    private SlotUse use(EndpointIncarnation incarnation, Instant now) {
      Duration left = request.work().minus(Duration.between(grantedAt, now));
      return new SlotUse(
          request.key().number(),
          incarnation,
          request.batch(),
          request.rank(),
          left.isNegative() ? Duration.ZERO : left);
    }

    private void onAnswerLost() {
      if (pending.remove(request.key()) == this) {
        fleet.recordSilence(coordinator.name(), clock.instant());
        log.important("slot", "answer.lost").with("service", request.service()).write();
        listener.onAnswer(
            new SlotAnswer.Refused(request.key(), RESEND_AFTER, SlotAnswer.Load.UNKNOWN));
      }
    }

    private void stopTimer() {
      if (timer != null) {
        timer.cancel(false);
        timer = null;
      }
    }
  }
}

package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.slot.DemandReport;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotClient;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Requests slots from the coordinators of the services.
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

  private final FleetView fleet;
  private final PeerTransport transport;
  private final EndpointDirectory directory;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final SchedulingSettings scheduling;
  private final RequestQuota quota;
  private final LocalCoordinators coordinators;
  private final Map<SlotKey, Pending> pending = new HashMap<>();

  /** Services whose endpoints report a pace. */
  private final Set<String> pacedServices = new HashSet<>();

  private final PaceReportFilter paceReports = new PaceReportFilter();

  /** Names of the last known coordinators by service. */
  private final Map<String, String> lastCoordinators = new HashMap<>();

  private long nextNumber;
  private boolean renewing;

  /** Creates a client that does all its work on the executor. */
  public FleetSlotClient(
      FleetView fleet,
      PeerTransport transport,
      EndpointDirectory directory,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log,
      RequestQuota quota,
      SchedulingSettings scheduling,
      GatewayMetrics metrics,
      LearnedStateReplicator learned) {
    this.fleet = fleet;
    this.transport = transport;
    this.directory = directory;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
    this.scheduling = scheduling;
    this.quota = quota;
    this.coordinators =
        new LocalCoordinators(
            fleet,
            transport,
            directory,
            executor,
            clock,
            log,
            quota,
            scheduling,
            new PaceObservation(log, metrics),
            learned,
            this::answeredHere);
    transport.onMessage(this::onMessageReceived);
  }

  /** Sets the receiver of the demand of each service that this process coordinates. */
  public void onDemand(BiConsumer<String, DemandReport> receiver) {
    coordinators.onDemand(receiver);
  }

  @Override
  public SlotKey nextKey() {
    nextNumber++;
    return new SlotKey(fleet.self().boot(), nextNumber);
  }

  @Override
  public void acquire(SlotRequest request, Listener listener) {
    Pending asked = new Pending(sized(request) ? request : request.withoutSize(), listener);
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
      coordinators.release(service, key, reported);
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
      coordinators.suspect(service, key);
    } else {
      transport.send(held.coordinator, new PeerMessage.Suspect(service, key));
    }
  }

  @Override
  public void refund(SlotRequest request) {
    quota.refundElsewhere(request, clock.instant());
  }

  @Override
  public void reportLoad(SlotKey key, ReportedLoad load) {
    Pending held = pending.get(key);
    if (held == null) {
      return;
    }
    String service = held.request.service();
    if (load.hasPace()) {
      pacedServices.add(service);
    }
    EndpointIncarnation endpoint = held.endpoint;
    boolean newPace =
        load.hasPace()
            && endpoint != null
            && paceReports.passes(endpoint.id(), load.pacePercent(), clock.instant());
    if (load.waiting() == 0 && !newPace) {
      return;
    }
    if (held.coordinator.equals(fleet.self())) {
      coordinators.reportLoad(service, key, load);
    } else {
      transport.send(held.coordinator, new PeerMessage.Told(service, key, load));
    }
  }

  /** Returns whether the coordinator schedules the request by the size that it states. */
  private boolean sized(SlotRequest request) {
    return scheduling.contended() || pacedServices.contains(request.service());
  }

  private void onMessageReceived(PeerCodec.Envelope envelope) {
    fleet.recordContact(envelope.sender());
    if (envelope.message() instanceof PeerMessage.Answer answer) {
      answered(answer.answer(), envelope.sender());
    } else {
      coordinators.onMessage(envelope);
    }
  }

  private void answeredHere(SlotAnswer answer) {
    answered(answer, fleet.self().name());
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
      coordinators.renew(service, holder, uses);
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
        coordinators.request(request);
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

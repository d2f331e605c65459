package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointLife;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotClient;
import io.hawthornlb.gateway.slot.SlotCoordinator;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import io.hawthornlb.gateway.slot.support.DefaultSlotCoordinator;
import io.hawthornlb.gateway.slot.support.SlotSettings;
import io.hawthornlb.gateway.wire.ToldLoad;
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
 * Asks the coordinator of a service for slots, and is the coordinator of some services itself.
 *
 * <p>The coordinator is the first process that answers, in an order that all processes compute
 * alike. Failure: it is killed, frozen or cut off. It shows as a question without an answer. Guard:
 * the question is repeated once, then goes to the next process, and at last to this process itself,
 * which then places by what it knows alone. Holders renew their uses at whomever they ask now, so a
 * new coordinator knows them within a second.
 */
public final class FleetSlotClient implements SlotClient {

  /** Time after which a question is repeated; a round trip is 1 to 3 ms, a busy core adds 10. */
  private static final Duration REPEAT_AFTER = Duration.ofMillis(25);

  /** Questions to one process before the next one is asked. */
  private static final int TRIES_PER_INSTANCE = 2;

  /** Other processes that are asked before this one decides alone. */
  private static final int INSTANCES_ASKED = 2;

  /** Time beyond the longest wait after which a lost answer is taken for a refusal. */
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(60);

  private static final Duration RENEW_EVERY = Duration.ofSeconds(1);

  /** Granularity of waits in a coordinator. */
  private static final Duration TICK = Duration.ofMillis(20);

  private final FleetView fleet;
  private final PeerTransport transport;
  private final EndpointDirectory directory;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final Map<String, SlotCoordinator> coordinators = new HashMap<>();
  private final Map<SlotKey, Pending> pending = new HashMap<>();

  /** Names of the processes that coordinated the services last. */
  private final Map<String, String> lastAsked = new HashMap<>();

  /** Names of the processes by their starts; answers go to these. */
  private final Map<String, String> senders = new HashMap<>();

  private long nextNumber;
  private boolean ticking;
  private boolean renewing;

  /** Creates a client; all its work happens on the executor. */
  public FleetSlotClient(
      FleetView fleet,
      PeerTransport transport,
      EndpointDirectory directory,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log) {
    this.fleet = fleet;
    this.transport = transport;
    this.directory = directory;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
    transport.onMessage(this::received);
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
    asked.askNext();
    renewSoon();
  }

  @Override
  public void release(SlotKey key, SlotOutcome outcome) {
    Pending ended = pending.remove(key);
    if (ended == null) {
      return;
    }
    ended.stopTimer();
    SlotOutcome told = ended.asTold(outcome);
    GatewayInstance coordinator = ended.coordinator;
    String service = ended.request.service();
    if (coordinator.equals(fleet.self())) {
      deliver(local(service).release(key, told, clock.instant()));
    } else {
      transport.send(coordinator, new PeerMessage.Release(service, key, told));
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
  public void told(SlotKey key, ToldLoad load) {
    Pending held = pending.get(key);
    if (held == null) {
      return;
    }
    String service = held.request.service();
    if (held.coordinator.equals(fleet.self())) {
      local(service).told(key, load, clock.instant());
    } else {
      transport.send(held.coordinator, new PeerMessage.Told(service, key, load));
    }
  }

  private SlotCoordinator local(String service) {
    return coordinators.computeIfAbsent(
        service,
        name ->
            new DefaultSlotCoordinator(
                name, directory, SlotSettings.DEFAULT, fingerprint -> barred(name, fingerprint)));
  }

  private void barred(String service, long fingerprint) {
    log.important("slot", "request.barred")
        .with("service", service)
        .with("fingerprint", Long.toHexString(fingerprint))
        .write();
    PeerMessage.Barred notice = new PeerMessage.Barred(service, fingerprint);
    fleet.others().forEach(other -> transport.send(other, notice));
  }

  private void received(PeerCodec.Envelope envelope) {
    fleet.heard(envelope.sender());
    PeerMessage message = envelope.message();
    Instant now = clock.instant();
    if (message instanceof PeerMessage.Ask ask) {
      senders.put(ask.request().key().holder(), envelope.sender());
      deliver(local(ask.request().service()).request(ask.request(), now));
      tickSoon();
    } else if (message instanceof PeerMessage.Answer answer) {
      answered(answer.answer(), envelope.sender());
    } else if (message instanceof PeerMessage.Release release) {
      deliver(local(release.service()).release(release.key(), release.outcome(), now));
    } else if (message instanceof PeerMessage.Suspect suspect) {
      local(suspect.service()).suspect(suspect.key(), now);
    } else if (message instanceof PeerMessage.Told told) {
      local(told.service()).told(told.key(), told.load(), now);
    } else if (message instanceof PeerMessage.Barred barred) {
      local(barred.service()).blockRequest(barred.fingerprint(), now);
    } else if (message instanceof PeerMessage.Renew renew) {
      senders.put(renew.holder(), envelope.sender());
      local(renew.service()).renew(renew.holder(), renew.uses(), now);
      tickSoon();
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
   * Hands an answer to the request that waits for it.
   *
   * <p>Failure: a coordinator that seemed silent answers after the next one has granted the
   * request. Its refusal would end a request that runs, as not run. Guard: only answers of the
   * coordinator that was asked last count, and a slot that another one granted is given back.
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

  private void tickSoon() {
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
      tickSoon();
    }
  }

  private void renewSoon() {
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
          moveTo(coordinator, service);
          renewAt(coordinator, service, ofService);
        });
    if (!uses.isEmpty()) {
      renewSoon();
    }
  }

  /** Returns the uses of this process by service; a service that is only waited for has none. */
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
   * Moves to another coordinator of a service with all that this process has there.
   *
   * <p>Failure: a coordinator ends or is cut off. It shows as slots that the next one hands out a
   * second time, since it learns of their uses with the next renewal, and as items that go on
   * waiting at the former one. Guard: whoever finds a new coordinator tells it of its uses first,
   * and asks it for all that waits.
   */
  private void moveTo(GatewayInstance coordinator, String service) {
    String former = lastAsked.put(service, coordinator.name());
    if (former == null || former.equals(coordinator.name())) {
      return;
    }
    renewAt(coordinator, service, uses().getOrDefault(service, List.of()));
    for (Pending each : List.copyOf(pending.values())) {
      if (each.waitsAt(former, service)) {
        each.askAnew();
      }
    }
  }

  private void renewAt(GatewayInstance coordinator, String service, List<SlotUse> uses) {
    String holder = fleet.self().boot();
    if (coordinator.equals(fleet.self())) {
      local(service).renew(holder, uses, clock.instant());
      tickSoon();
    } else {
      transport.send(coordinator, new PeerMessage.Renew(service, holder, uses));
    }
  }

  /** A request for a slot, until its use has ended. */
  private final class Pending {

    private final SlotRequest request;
    private final Listener listener;
    private GatewayInstance coordinator = fleet.self();
    private int tries;
    private int asked;
    private boolean waits;
    private @Nullable EndpointLife endpoint;
    private Instant grantedAt = Instant.MAX;
    private @Nullable ScheduledFuture<?> timer;

    private Pending(SlotRequest request, Listener listener) {
      this.request = request;
      this.listener = listener;
    }

    private void askNext() {
      List<GatewayInstance> ranked = fleet.ranked(request.service(), clock.instant());
      boolean alone = asked >= INSTANCES_ASKED || ranked.isEmpty();
      coordinator = alone ? fleet.self() : ranked.get(0);
      asked++;
      tries = 0;
      if (!alone) {
        moveTo(coordinator, request.service());
      }
      ask();
    }

    private boolean waitsAt(String instance, String service) {
      return pending.get(request.key()) == this
          && waits
          && coordinator.name().equals(instance)
          && request.service().equals(service);
    }

    private void askAnew() {
      stopTimer();
      waits = false;
      asked = 0;
      askNext();
    }

    private void ask() {
      if (coordinator.equals(fleet.self())) {
        deliver(local(request.service()).request(request, clock.instant()));
        tickSoon();
        return;
      }
      tries++;
      transport.send(coordinator, new PeerMessage.Ask(request));
      timer = executor.schedule(this::noAnswer, REPEAT_AFTER.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void noAnswer() {
      if (pending.get(request.key()) != this) {
        return;
      }
      if (tries < TRIES_PER_INSTANCE) {
        ask();
        return;
      }
      fleet.silent(coordinator.name(), clock.instant());
      log.important("slot", "coordinator.silent")
          .with("service", request.service())
          .with("instance", coordinator.name())
          .write();
      askNext();
    }

    private void answered(SlotAnswer answer) {
      boolean granted = endpoint != null;
      if (granted && !(answer instanceof SlotAnswer.Revoked)) {
        // A repeated question was answered twice.
        return;
      }
      stopTimer();
      waits = answer instanceof SlotAnswer.Waiting;
      if (answer instanceof SlotAnswer.Waiting waiting) {
        Duration longest = waiting.atMost().plus(ANSWER_MARGIN);
        timer = executor.schedule(this::lost, longest.toMillis(), TimeUnit.MILLISECONDS);
      } else if (answer instanceof SlotAnswer.Granted grant) {
        // Of two lives the later one runs: the endpoint is where this process's list says, or has
        // started since.
        EndpointLife listed =
            directory.find(grant.endpoint()).map(EndpointRecord::life).orElse(grant.life());
        EndpointLife life = listed.follows(grant.life()) ? listed : grant.life();
        endpoint = life;
        grantedAt = clock.instant();
        listener.onAnswer(new SlotAnswer.Granted(request.key(), life));
      } else {
        pending.remove(request.key());
        listener.onAnswer(answer);
      }
    }

    /**
     * Returns the outcome as the coordinator is to count it.
     *
     * <p>Failure: the coordinator knows that an endpoint has started again, and this process does
     * not. Requests go to where the endpoint stood, and the pause for that would hold the new life
     * back. Guard: that this process's list is behind counts against no endpoint.
     */
    private SlotOutcome asTold(SlotOutcome outcome) {
      boolean notThere = outcome == SlotOutcome.REPLACED || outcome == SlotOutcome.UNREACHED;
      boolean behind = endpoint != null && directory.unheard(endpoint);
      return notThere && behind ? SlotOutcome.ABANDONED : outcome;
    }

    private SlotUse use(EndpointLife life, Instant now) {
      Duration left = request.work().minus(Duration.between(grantedAt, now));
      return new SlotUse(
          request.key().number(),
          life,
          request.batch(),
          request.rank(),
          left.isNegative() ? Duration.ZERO : left);
    }

    private void lost() {
      if (pending.remove(request.key()) == this) {
        fleet.silent(coordinator.name(), clock.instant());
        log.important("slot", "answer.lost").with("service", request.service()).write();
        listener.onAnswer(
            new SlotAnswer.Refused(request.key(), REPEAT_AFTER, SlotAnswer.Load.UNKNOWN));
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

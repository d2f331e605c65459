package io.hawthornlb.gateway.peer;

import io.hawthornlb.core.learned.IncarnationPace;
import io.hawthornlb.core.learned.LearnedState;
import io.hawthornlb.core.learned.LearnedStateCandidate;
import io.hawthornlb.core.learned.LearnedStateSelection;
import io.hawthornlb.core.learned.LearnedStateSource;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.decode.UnreadableRecords;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.learned.LearnedStateCodec;
import io.hawthornlb.gateway.learned.LearnedStateStore;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Sends what this process has learned as a coordinator to its likely successors and to the store,
 * and restores what a predecessor has learned when this process becomes a coordinator.
 *
 * <p>A process is the coordinator of a service while requests for slots of it arrive. It does
 * nothing for a service whose estimates are not in effect.
 */
public final class LearnedStateReplicator {

  /** Interval at which a changed state is sent. */
  static final Duration SEND_INTERVAL = Duration.ofSeconds(2);

  /** Shortest time between two writes to the store for one service. */
  static final Duration WRITE_INTERVAL = Duration.ofSeconds(10);

  /**
   * Time without requests after which this process is no longer the coordinator; longer than the
   * longest exclusion of a process that did not answer ({@link FleetView}).
   */
  static final Duration IDLE_TIME = Duration.ofSeconds(5);

  /**
   * Time after which a record of the store is no longer restored, because the coordinator has
   * learned more by itself; a slow store answers within 2.5 s.
   */
  static final Duration RESTORE_WITHIN = Duration.ofSeconds(3);

  /** Number of instances that the state is sent to. */
  private static final int REPLICAS = 2;

  /** Maximum size of a datagram, so that it is not fragmented on any usual link. */
  static final int MAX_DATAGRAM_BYTES = 1_200;

  /** Bytes by which the header of a byte array and an age exceed those of an empty message. */
  private static final int HEADER_GROWTH = 8;

  /** Maximum number of services whose received states are kept; there are about ten. */
  private static final int MAX_SERVICES = 100;

  private final FleetView fleet;
  private final PeerTransport transport;
  private final EndpointDirectory directory;
  private final LearnedStateStore store;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final UnreadableRecords ignored;
  private final Map<String, Coordinated> services = new HashMap<>();
  private final Map<String, LearnedStateSelection> received = new Received();
  private boolean scheduled;

  /** Creates a replicator that does all its work on the executor. */
  public LearnedStateReplicator(
      FleetView fleet,
      PeerTransport transport,
      EndpointDirectory directory,
      LearnedStateStore store,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log) {
    this.fleet = fleet;
    this.transport = transport;
    this.directory = directory;
    this.store = store;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
    this.ignored = new UnreadableRecords(log, clock, "slot", "learned.ignored", "from");
  }

  /** Called before this process handles a request as the coordinator of a service. */
  void serving(String service, LearnedStateSource source, Instant now) {
    Coordinated known = services.get(service);
    if (known != null && known.serving) {
      known.lastServed = now;
      return;
    }
    // Without its endpoints, a restored state could not be checked against their incarnations.
    if (!source.active() || directory.usable(service).isEmpty()) {
      return;
    }
    Coordinated begun = known != null ? known : services.computeIfAbsent(service, Coordinated::new);
    begun.begin(source, now);
    begun.restoreNewest(now);
    store.readOnce(this::keep, this::onStoreRead);
    schedule();
  }

  /** Handles a state that another coordinator sent. */
  void onMessage(String sender, PeerMessage.Learned message) {
    try {
      LearnedState state = LearnedStateCodec.decode(message.version(), message.state());
      Instant learnedAt = clock.instant().minus(message.age());
      keep(message.service(), new LearnedStateCandidate(sender, state, learnedAt));
      ignored.forget(sender);
    } catch (UnreadableException e) {
      ignored.report(sender, e);
    }
  }

  /** Keeps a state for the case that this process becomes the coordinator. */
  private void keep(String service, LearnedStateCandidate learned) {
    // Names of services that do not exist would displace those that do.
    if (!directory.usable(service).isEmpty()) {
      received
          .computeIfAbsent(service, any -> new LearnedStateSelection())
          .offer(learned, clock.instant());
    }
  }

  private void onStoreRead() {
    Instant now = clock.instant();
    for (Coordinated service : services.values()) {
      if (service.serving && !now.isAfter(service.since.plus(RESTORE_WITHIN))) {
        service.restoreNewest(now);
      }
    }
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      executor.schedule(this::replicate, SEND_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void replicate() {
    scheduled = false;
    Instant now = clock.instant();
    for (Coordinated service : services.values()) {
      if (service.serving) {
        service.replicate(now);
      }
    }
    if (services.values().stream().anyMatch(each -> each.serving)) {
      schedule();
    }
  }

  private void send(
      String service,
      LearnedStateCandidate learned,
      List<GatewayInstance> successors,
      Instant now) {
    long version = learned.state().version();
    PeerMessage.Learned empty =
        new PeerMessage.Learned(service, version, Duration.ZERO, new byte[0]);
    int overhead =
        PeerCodec.encode(new PeerCodec.Envelope(fleet.self().name(), empty)).length + HEADER_GROWTH;
    for (byte[] part : LearnedStateCodec.split(learned.state(), MAX_DATAGRAM_BYTES - overhead)) {
      PeerMessage.Learned message =
          new PeerMessage.Learned(service, version, learned.age(now), part);
      successors.forEach(successor -> transport.send(successor, message));
    }
  }

  /** Returns the paces of the incarnations that are running. */
  private Map<String, IncarnationPace> current(LearnedState state) {
    Map<String, IncarnationPace> current = new TreeMap<>(state.paces());
    current
        .entrySet()
        .removeIf(
            pace ->
                directory
                    .find(pace.getKey())
                    .filter(known -> known.incarnation().born() == pace.getValue().born())
                    .isEmpty());
    return current;
  }

  /** A service that this process coordinates, or has coordinated. */
  private final class Coordinated {

    private final String service;
    private @Nullable LearnedStateSource source;
    private boolean serving;
    private Instant since = Instant.MIN;
    private Instant lastServed = Instant.MIN;
    private Instant nextWrite = Instant.MIN;

    private @Nullable LearnedStateCandidate restored;

    /** State that the estimates had when they were last restored or exported. */
    private @Nullable LearnedStateCandidate last;

    private byte[] lastBytes = new byte[0];
    private byte[] sentBytes = new byte[0];
    private List<GatewayInstance> sentTo = List.of();
    private byte[] writtenBytes = new byte[0];

    private Coordinated(String service) {
      this.service = service;
    }

    private void begin(LearnedStateSource learner, Instant now) {
      source = learner;
      serving = true;
      since = now;
      lastServed = now;
    }

    /** Restores the newest state, unless that is the one that the estimates come from. */
    private void restoreNewest(Instant now) {
      LearnedStateSelection selection = received.get(service);
      if (selection != null) {
        selection
            .newest(name -> fleet.listedRank(service, name), now)
            .filter(newest -> !same(newest, last) && !same(newest, restored))
            .ifPresent(newest -> restore(newest, now));
      }
    }

    private boolean same(LearnedStateCandidate one, @Nullable LearnedStateCandidate other) {
      return other != null
          && other.coordinator().equals(one.coordinator())
          && other.state().version() == one.state().version();
    }

    private void restore(LearnedStateCandidate newest, Instant now) {
      Duration age = newest.age(now);
      Map<String, IncarnationPace> paces = current(newest.state());
      int unknown = newest.state().paces().size() - paces.size();
      if (unknown > 0) {
        log.important("slot", "learned.ignored")
            .with("from", newest.coordinator())
            .with("cause", "endpoints that are not running")
            .with("endpoints", unknown)
            .write();
      }
      LearnedState usable =
          LearnedStateSelection.usable(newest.state().withPaces(paces), age)
              .orElse(LearnedState.EMPTY);
      if (source == null || usable.isEmpty()) {
        return;
      }
      source.restore(usable, age, now);
      restored = newest;
      last = newest;
      lastBytes = LearnedStateCodec.encode(source.export(now));
      log.important("slot", "learned.restored")
          .with("service", service)
          .with("from", newest.coordinator())
          .with("version", newest.state().version())
          .with("ageMillis", age.toMillis())
          .with("endpoints", paces.size())
          .write();
    }

    private void replicate(Instant now) {
      LearnedStateSource learner = source;
      boolean inEffect = learner != null && learner.active();
      LearnedState state = inEffect ? learner.export(now) : LearnedState.EMPTY;
      if (!state.isEmpty()) {
        byte[] bytes = LearnedStateCodec.encode(state);
        LearnedStateCandidate learned = versioned(state, bytes, now);
        boolean usable = learned.age(now).compareTo(LearnedStateSelection.MAX_AGE) <= 0;
        // Another process may take this one for the coordinator although the first one is alive.
        if (usable && fleet.rankOfSelf(service, now) == 0) {
          sendIfChanged(learned, bytes, now);
          writeIfChanged(learned, bytes, now);
        }
      }
      endIfIdle(now);
    }

    private void sendIfChanged(LearnedStateCandidate learned, byte[] bytes, Instant now) {
      List<GatewayInstance> successors =
          fleet.rankedOthers(service, now).stream().limit(REPLICAS).toList();
      if (!Arrays.equals(bytes, sentBytes) || !sentTo.containsAll(successors)) {
        sentBytes = bytes;
        sentTo = successors;
        send(service, learned, successors, now);
      }
    }

    private void writeIfChanged(LearnedStateCandidate learned, byte[] bytes, Instant now) {
      if (!Arrays.equals(bytes, writtenBytes) && !now.isBefore(nextWrite)) {
        nextWrite = now.plus(WRITE_INTERVAL);
        store.write(service, learned, () -> writtenBytes = bytes);
      }
    }

    /** Returns the state with its version and time, which change only if a figure has changed. */
    private LearnedStateCandidate versioned(LearnedState state, byte[] bytes, Instant now) {
      LearnedStateCandidate former = last;
      boolean changed = former == null || !Arrays.equals(bytes, lastBytes);
      long version = former == null ? LearnedState.UNVERSIONED : former.state().version();
      boolean own = former != null && former.coordinator().equals(fleet.self().name());
      if (changed || !own) {
        version = LearnedStateSelection.nextVersion(version, now);
      }
      Instant learnedAt = former == null || changed ? now : former.learnedAt();
      LearnedStateCandidate learned =
          new LearnedStateCandidate(fleet.self().name(), state.withVersion(version), learnedAt);
      last = learned;
      lastBytes = bytes;
      return learned;
    }

    /** Ends the coordination if no requests arrive, and keeps the state in case they return. */
    private void endIfIdle(Instant now) {
      if (now.isBefore(lastServed.plus(IDLE_TIME))) {
        return;
      }
      serving = false;
      if (last != null) {
        keep(service, last);
      }
    }
  }

  /** Received states by service; evicts those that have not been used for longest. */
  private static final class Received extends LinkedHashMap<String, LearnedStateSelection> {

    private static final long serialVersionUID = 1L;

    private Received() {
      super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, LearnedStateSelection> eldest) {
      return size() > MAX_SERVICES;
    }
  }
}

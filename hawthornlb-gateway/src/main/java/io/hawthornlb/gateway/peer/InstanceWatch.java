package io.hawthornlb.gateway.peer;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.gateway.event.EventLog;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Removes instances from the list that were lost without a stop signal.
 *
 * <p>Duties are shared out by ranks among the listed instances. A lost one stays listed, and each
 * process that asks it for something waits in vain, again and again. Therefore each instance asks
 * the next one on a ring for a sign of life; where that one is silent, also those behind it. One
 * that stays silent is suspected, and removed from the list after a while. An instance that is
 * alive all the same enters itself again.
 *
 * <p>A network partition makes instances silent as well. An instance is therefore removed soon only
 * if another one of its data centre answers.
 */
public final class InstanceWatch {

  /** Time between two questions; a suspicion lasts until the next one. */
  static final Duration INTERVAL = Duration.ofSeconds(3);

  /** Silence after which an instance is removed; longer than freezes, power cuts and restarts. */
  static final Duration LOST_AFTER = Duration.ofSeconds(30);

  /**
   * Silence after which an instance is removed if no other one of its data centre answers, or if it
   * has entered itself again before.
   */
  static final Duration DOUBTFUL_AFTER = Duration.ofMinutes(10);

  /** Silence after which an instance is suspected, and others of its data centre are asked. */
  private static final Duration SUSPECT_AFTER = INTERVAL.multipliedBy(2);

  /** Number of instances of a data centre that are asked beside a silent one. */
  private static final int WITNESSES = 2;

  private final FleetView fleet;
  private final PeerTransport transport;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final Function<GatewayInstance, CompletionStage<Void>> removal;
  private final Map<String, Answer> asked = new HashMap<>();
  private final Map<String, Instant> silentSince = new HashMap<>();
  private final Set<String> removedBoots = new HashSet<>();
  private int watched = 1;
  private int witnessTurn;

  /** Whether an instance that was asked has answered. */
  private static final class Answer {

    private boolean received;
  }

  /**
   * Creates a watch.
   *
   * @param removal removes an instance from the list; the stage fails if it may still be listed
   */
  public InstanceWatch(
      FleetView fleet,
      PeerTransport transport,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log,
      Function<GatewayInstance, CompletionStage<Void>> removal) {
    this.fleet = fleet;
    this.transport = transport;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
    this.removal = removal;
    transport.onMessage(envelope -> onContact(envelope.sender()));
  }

  /** Starts to watch. */
  public void start() {
    executor.schedule(this::round, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void onContact(String name) {
    Answer answer = asked.get(name);
    if (answer != null) {
      answer.received = true;
    }
  }

  private void round() {
    Instant now = clock.instant();
    noteSilence(now);
    List<GatewayInstance> ring = ringBehindSelf();
    watched = Math.min(ring.size(), widthFor(ring));
    Set<String> answering = answering();
    asked.clear();
    for (GatewayInstance each : ring.subList(0, watched)) {
      judge(each, answering, now);
      ask(each);
    }
    start();
  }

  /** Takes note of which of the instances that were asked have not answered. */
  private void noteSilence(Instant now) {
    asked.forEach(
        (name, answer) -> {
          if (answer.received) {
            silentSince.remove(name);
          } else {
            silentSince.putIfAbsent(name, now.minus(INTERVAL));
          }
        });
    silentSince.keySet().retainAll(asked.keySet());
  }

  private Set<String> answering() {
    Set<String> names = new HashSet<>();
    asked.forEach(
        (name, answer) -> {
          if (answer.received) {
            names.add(name);
          }
        });
    return names;
  }

  /** Returns how many instances to ask: up to the first that answers, else twice as many. */
  private int widthFor(List<GatewayInstance> ring) {
    for (int i = 0; i < Math.min(watched, ring.size()); i++) {
      if (!silentSince.containsKey(ring.get(i).name())) {
        return i + 1;
      }
    }
    return Math.max(1, 2 * watched);
  }

  private void judge(GatewayInstance instance, Set<String> answering, Instant now) {
    @Nullable Instant since = silentSince.get(instance.name());
    if (since == null || now.isBefore(since.plus(SUSPECT_AFTER))) {
      return;
    }
    fleet.recordSilence(instance.name(), now);
    Predicate<GatewayInstance> neighbour =
        each ->
            each.dataCentre().equals(instance.dataCentre()) && !each.name().equals(instance.name());
    boolean ownDataCentre = instance.dataCentre().equals(fleet.self().dataCentre());
    boolean witnessed =
        ownDataCentre
            ? !answering.isEmpty()
            : fleet.others().stream()
                .filter(neighbour)
                .anyMatch(each -> answering.contains(each.name()));
    boolean doubtful = !witnessed || removedBoots.contains(instance.boot());
    if (!now.isBefore(since.plus(doubtful ? DOUBTFUL_AFTER : LOST_AFTER))) {
      remove(instance, Duration.between(since, now));
    }
    askWitnesses(fleet.others().stream().filter(neighbour).toList());
  }

  private void remove(GatewayInstance instance, Duration silence) {
    log.important("fleet", "instance.lost")
        .with("instance", instance.name())
        .with("silentMillis", silence.toMillis())
        .write();
    removal.apply(instance).thenRunAsync(() -> removedBoots.add(instance.boot()), executor);
  }

  private void askWitnesses(List<GatewayInstance> neighbours) {
    List<GatewayInstance> quiet =
        neighbours.stream().filter(each -> !silentSince.containsKey(each.name())).toList();
    for (int i = 0; i < Math.min(WITNESSES, quiet.size()); i++) {
      witnessTurn++;
      ask(quiet.get(Math.floorMod(witnessTurn, quiet.size())));
    }
  }

  private void ask(GatewayInstance instance) {
    if (asked.putIfAbsent(instance.name(), new Answer()) == null) {
      transport.send(instance, new PeerMessage.Ping());
    }
  }

  /** Returns all other instances in the order of the ring, from this process on. */
  private List<GatewayInstance> ringBehindSelf() {
    long own = place(fleet.self());
    List<GatewayInstance> ring = new ArrayList<>(fleet.others());
    ring.sort(Comparator.comparing(each -> place(each) - own, Long::compareUnsigned));
    return ring;
  }

  /** Returns the place on the ring; differences wrap around. */
  private static long place(GatewayInstance instance) {
    return Hashing.wyhashFinal4().hashCharsToLong(instance.name());
  }
}

package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.stream.StreamId;
import io.hawthornlb.gateway.stream.StreamOrigin;
import io.hawthornlb.gateway.stream.StreamOrigins;
import io.hawthornlb.gateway.stream.support.OriginTable;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the origin of each stream at the instance that began it and at others that its id selects.
 *
 * <p>A caller resumes a stream mostly because the instance that served it was killed, often with
 * others of its data centre. The copies are therefore in several data centres, and their instances
 * follow from the id, so that any instance finds them.
 */
public final class FleetStreamOrigins implements StreamOrigins {

  /** Number of other instances that keep the origin of a stream. */
  static final int COPIES = 3;

  /**
   * Number of instances of each data centre that are asked. The lists of two instances may differ,
   * so the first one here may be the second one there.
   */
  private static final int ASKED_PER_DATA_CENTRE = 2;

  /** Time after which instances that have not answered are asked again. */
  private static final Duration RESEND_AFTER = Duration.ofMillis(20);

  /** Longest time that a caller waits for the origin; a round trip takes 1 to 6 ms. */
  static final Duration MAX_WAIT = Duration.ofMillis(60);

  /** Maximum number of streams that are looked up at the same time. */
  private static final int MAX_SEARCHES = 2_000;

  private final FleetView fleet;
  private final PeerTransport transport;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final OriginTable table = new OriginTable();
  private final Map<StreamId, Search> searches = new HashMap<>();

  /** Creates origins that do all their work on the executor. */
  public FleetStreamOrigins(
      FleetView fleet,
      PeerTransport transport,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log,
      GatewayMetrics metrics) {
    this.fleet = fleet;
    this.transport = transport;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    transport.onMessage(this::onMessage);
  }

  @Override
  public void began(StreamId stream, StreamOrigin origin) {
    table.put(stream, origin, clock.instant());
    PeerMessage.Began notice = new PeerMessage.Began(stream, origin);
    copies(stream).forEach(instance -> transport.send(instance, notice));
  }

  @Override
  public void find(StreamId stream, Consumer<Optional<StreamOrigin>> receiver) {
    Search running = searches.get(stream);
    if (running != null) {
      running.receivers.add(receiver);
    } else if (table.contains(stream, clock.instant()) || searches.size() >= MAX_SEARCHES) {
      receiver.accept(table.find(stream, clock.instant()));
    } else {
      new Search(stream, receiver).start();
    }
  }

  /** Returns the other instances that keep the origin of a stream. */
  private List<GatewayInstance> copies(StreamId stream) {
    Instant now = clock.instant();
    List<GatewayInstance> chosen = new ArrayList<>(COPIES);
    List<GatewayInstance> others = new ArrayList<>(COPIES);
    for (GatewayInstance each : fleet.spread(stream.low())) {
      if (chosen.size() == COPIES) {
        break;
      }
      if (each.equals(fleet.self()) || fleet.seemsSilent(each.name(), now)) {
        continue;
      }
      List<GatewayInstance> list = hasDataCentre(chosen, each.dataCentre()) ? others : chosen;
      if (list.size() < COPIES) {
        list.add(each);
      }
    }
    chosen.addAll(others.subList(0, Math.min(COPIES - chosen.size(), others.size())));
    return chosen;
  }

  private static boolean hasDataCentre(List<GatewayInstance> instances, String dataCentre) {
    for (GatewayInstance each : instances) {
      if (each.dataCentre().equals(dataCentre)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the instances to ask, also those that seem silent: a wrong suspicion costs a no. */
  private List<GatewayInstance> asked(StreamId stream) {
    List<GatewayInstance> others =
        fleet.spread(stream.low()).stream().filter(each -> !each.equals(fleet.self())).toList();
    List<GatewayInstance> chosen = firstOfEachDataCentre(others);
    for (GatewayInstance each : others.subList(0, Math.min(COPIES + 1, others.size()))) {
      if (!chosen.contains(each)) {
        chosen.add(each);
      }
    }
    return chosen;
  }

  private static List<GatewayInstance> firstOfEachDataCentre(List<GatewayInstance> order) {
    Map<String, Integer> counts = new HashMap<>();
    List<GatewayInstance> chosen = new ArrayList<>();
    for (GatewayInstance each : order) {
      if (counts.merge(each.dataCentre(), 1, Integer::sum) <= ASKED_PER_DATA_CENTRE) {
        chosen.add(each);
      }
    }
    return chosen;
  }

  private void onMessage(PeerCodec.Envelope envelope) {
    if (envelope.message() instanceof PeerMessage.Began began) {
      table.put(began.stream(), began.origin(), clock.instant());
    } else if (envelope.message() instanceof PeerMessage.FindOrigin asked) {
      answer(envelope.sender(), asked.stream());
    } else if (envelope.message() instanceof PeerMessage.Origin answer) {
      Search search = searches.get(answer.stream());
      if (search != null) {
        search.onAnswer(envelope.sender(), answer);
      }
    }
  }

  private void answer(String asker, StreamId stream) {
    GatewayInstance to = fleet.lastKnown(asker);
    if (to != null) {
      StreamOrigin origin = table.find(stream, clock.instant()).orElse(null);
      boolean known = table.contains(stream, clock.instant());
      transport.send(to, new PeerMessage.Origin(stream, known, origin));
    }
  }

  /** A search for the origin of one stream. */
  private final class Search {

    private final StreamId stream;
    private final List<Consumer<Optional<StreamOrigin>>> receivers = new ArrayList<>();
    private final List<GatewayInstance> asked;
    private final Set<String> answered = new HashSet<>();
    private @Nullable ScheduledFuture<?> timer;

    private Search(StreamId stream, Consumer<Optional<StreamOrigin>> receiver) {
      this.stream = stream;
      this.asked = asked(stream);
      receivers.add(receiver);
    }

    private void start() {
      searches.put(stream, this);
      if (asked.isEmpty()) {
        end(Optional.empty());
        return;
      }
      ask();
      timer = executor.schedule(this::askAgain, RESEND_AFTER.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void ask() {
      for (GatewayInstance each : asked) {
        if (!answered.contains(each.name())) {
          transport.send(each, new PeerMessage.FindOrigin(stream));
        }
      }
    }

    private void askAgain() {
      ask();
      long rest = MAX_WAIT.minus(RESEND_AFTER).toMillis();
      timer = executor.schedule(this::onTimeout, rest, TimeUnit.MILLISECONDS);
    }

    private void onTimeout() {
      log.important("stream", "origin.not.found")
          .with("asked", asked.size())
          .with("answered", answered.size())
          .write();
      end(Optional.empty());
    }

    private void onAnswer(String sender, PeerMessage.Origin answer) {
      answered.add(sender);
      StreamOrigin origin = answer.origin();
      if (origin != null) {
        table.put(stream, origin, clock.instant());
      }
      if (answer.known() || asked.stream().allMatch(each -> answered.contains(each.name()))) {
        end(Optional.ofNullable(origin));
      }
    }

    private void end(Optional<StreamOrigin> origin) {
      searches.remove(stream);
      if (timer != null) {
        timer.cancel(false);
      }
      metrics.count("streams.searched", origin.isPresent() ? "found" : "not found");
      receivers.forEach(receiver -> receiver.accept(origin));
    }
  }
}

package io.hawthornlb.gateway.peer;

import io.hawthornlb.core.learned.LearnedState;
import io.hawthornlb.core.learned.LearnedStateSource;
import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.learned.LearnedStateStore;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.store.StoreException;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Gateways that share what they learn about one service, in virtual time. */
final class LearnedFleet {

  static final String SERVICE = "engine";

  final VirtualLoop time = new VirtualLoop();
  final Store store = new Store();
  final Map<String, Node> nodes = new TreeMap<>();
  final List<byte[]> datagrams = new ArrayList<>();
  BiPredicate<String, String> reaches = (from, to) -> true;
  private final int endpoints;

  LearnedFleet(int instances, int endpoints) {
    this.endpoints = endpoints;
    for (int i = 0; i < instances; i++) {
      start("g" + i);
    }
  }

  /** Starts an instance, or restarts it without its memory. */
  void start(String name) {
    nodes.put(name, new Node(name));
    nodes.values().forEach(each -> each.fleet.put(instance(name)));
    nodes.keySet().forEach(each -> nodes.get(name).fleet.put(instance(each)));
  }

  /** Returns the instances in rank. */
  List<Node> ranked() {
    return nodes.values().iterator().next().fleet.ranked(SERVICE, time.instant()).stream()
        .map(each -> nodes.get(each.name()))
        .toList();
  }

  /** Lets instances serve a request every 100 ms; they learn a new output length each time. */
  void serve(Duration span, Node... coordinators) {
    for (long at = 0; at < span.toMillis(); at += 100) {
      for (Node each : coordinators) {
        each.replicator.serving(SERVICE, each.learner, time.instant());
        each.learner.learn(each.learner.state.usualOutputTokens() + 1);
      }
      time.advance(Duration.ofMillis(100));
    }
  }

  private static GatewayInstance instance(String name) {
    return new GatewayInstance(name, name + "~1", new InetSocketAddress("127.0.0.1", 1), "a");
  }

  /** Estimates that contain what the test sets. */
  static final class Learner implements LearnedStateSource {

    LearnedState state = LearnedState.EMPTY;
    boolean active = true;
    final List<Duration> restoredAges = new ArrayList<>();

    void learn(int outputTokens) {
      state =
          new LearnedState(0, state.tokenTimes(), outputTokens, state.paces(), state.loadCycle());
    }

    @Override
    public boolean active() {
      return active;
    }

    @Override
    public LearnedState export(Instant now) {
      return state.withVersion(LearnedState.UNVERSIONED);
    }

    @Override
    public void restore(LearnedState restored, Duration age, Instant restoredAt) {
      state = restored;
      restoredAges.add(age);
    }
  }

  /** One gateway. */
  final class Node implements PeerTransport {

    final String name;
    final FleetView fleet;
    final Learner learner = new Learner();
    final RecordingEventLog log = new RecordingEventLog();
    final LearnedStateReplicator replicator;
    private final EndpointDirectory directory = new EndpointDirectory();
    private Consumer<PeerCodec.Envelope> receiver;

    private Node(String name) {
      this.name = name;
      this.fleet = new FleetView(instance(name));
      for (int i = 0; i < endpoints; i++) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 2);
        directory.put(
            new EndpointRecord(
                "server-" + i, SERVICE, address, "a", 8, false, 1_764_000_000_000L + i));
      }
      this.replicator =
          new LearnedStateReplicator(
              fleet,
              this,
              directory,
              new LearnedStateStore(store, time.loop(), time, log),
              time.loop(),
              time,
              log);
      receiver =
          datagram ->
              replicator.onMessage(datagram.sender(), (PeerMessage.Learned) datagram.message());
    }

    @Override
    public void send(GatewayInstance to, PeerMessage message) {
      byte[] bytes = PeerCodec.encode(new PeerCodec.Envelope(name, message));
      datagrams.add(bytes);
      if (reaches.test(name, to.name())) {
        nodes.get(to.name()).receiver.accept(PeerCodec.decode(bytes));
      }
    }

    /** Returns a slot client, which then receives the datagrams of this gateway. */
    FleetSlotClient slotClient(boolean contended) {
      return new FleetSlotClient(
          fleet,
          this,
          directory,
          time.loop(),
          time,
          log,
          RequestQuota.UNLIMITED,
          new SchedulingSettings(contended),
          new GatewayMetrics(),
          replicator);
    }

    @Override
    public void onMessage(Consumer<PeerCodec.Envelope> next) {
      receiver = next;
    }
  }

  /** Store that counts its calls, and can be away or slow. */
  final class Store extends InMemoryLogStore {

    int appends;
    int lists;
    boolean away;
    Duration delay = Duration.ZERO;

    private Store() {
      super(time.loop(), 1);
    }

    @Override
    public CompletionStage<Appended> append(AppendCall call) {
      appends++;
      return reply(away ? null : super.append(call));
    }

    @Override
    public CompletionStage<KeyedPage> newest(String topic, int partition, @Nullable String after) {
      lists++;
      return reply(away ? null : super.newest(topic, partition, after));
    }

    private <T> CompletionStage<T> reply(@Nullable CompletionStage<T> done) {
      if (done == null) {
        return CompletableFuture.failedFuture(
            new StoreException(StoreException.Kind.UNKNOWN, "The store is away"));
      }
      CompletableFuture<T> reply = new CompletableFuture<>();
      T value = done.toCompletableFuture().join();
      time.loop().schedule(() -> reply.complete(value), delay.toMillis(), TimeUnit.MILLISECONDS);
      return reply;
    }
  }
}

package io.hawthornlb.gateway.crash;

import io.hawthornlb.core.crash.PartSuspicions;
import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.crash.support.DefaultCrashGuard;
import io.hawthornlb.gateway.crash.support.StoredEvidence;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.peer.PeerEvidence;
import io.hawthornlb.gateway.peer.VirtualFleet;
import io.hawthornlb.gateway.store.KeyedFollower;
import io.hawthornlb.gateway.store.StoreException;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import io.hawthornlb.gateway.wire.EndpointLiveness;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Gateways whose guards share what they learn by datagrams and through a store. */
final class CrashFleet extends VirtualFleet<CrashFleet.Node> {

  private final InMemoryLogStore store;
  private final EndpointLiveness liveness;
  private final Supplier<PartSuspicions> way;

  /** Selects the gateways that reach the store. */
  Predicate<Node> reachesStore = node -> true;

  /** Selects the gateways of a former build, which have no guard. */
  Predicate<String> old = name -> false;

  CrashFleet(VirtualLoop time, EndpointLiveness liveness, Supplier<PartSuspicions> way) {
    super(time);
    this.store = new InMemoryLogStore(time.loop(), 1);
    this.liveness = liveness;
    this.way = way;
  }

  @Override
  protected Node create(String name, String dataCentre, int boot) {
    return new Node(name, dataCentre, boot);
  }

  /** Kills an instance, which starts again without its memory. */
  void restart(Node node) {
    node.down = true;
    start(node.name, node.dataCentre);
  }

  /** One gateway. */
  final class Node extends VirtualFleet<Node>.Node {

    final CrashGuard guard;
    CrashGuard items = CrashGuard.NONE;
    final Instant started = time.instant();

    private Node(String name, String dataCentre, int boot) {
      super(name, dataCentre, boot);
      guard = old.test(name) ? CrashGuard.NONE : sharing();
    }

    private CrashGuard sharing() {
      PartSuspicions suspicions = way.get();
      RecordingEventLog log = new RecordingEventLog();
      DefaultCrashGuard sharing =
          new DefaultCrashGuard(suspicions, liveness, time.loop(), time, log, new GatewayMetrics());
      PeerEvidence peers = new PeerEvidence(fleet, this, sharing);
      sharing.addChannel(peers);
      Store own = new Store();
      StoredEvidence stored =
          new StoredEvidence(suspicions, sharing, peers, own, time.loop(), time, log);
      sharing.addChannel(stored);
      new KeyedFollower(
              own,
              StoredEvidence.TOPIC,
              0,
              KeyedFollower.RELAXED_WAIT,
              time.loop(),
              time,
              log,
              stored)
          .start();
      items = sharing.forItems();
      return sharing;
    }

    /** The store as this gateway reaches it. */
    private final class Store extends InMemoryLogStore {

      private Store() {
        super(time.loop(), 1);
      }

      @Override
      public CompletionStage<Appended> append(AppendCall call) {
        return reached() ? store.append(call) : unreached();
      }

      @Override
      public CompletionStage<LogPage> read(String topic, int part, long from, Duration wait) {
        return reached() ? store.read(topic, part, from, wait) : unreached();
      }

      @Override
      public CompletionStage<KeyedPage> newest(String topic, int part, @Nullable String after) {
        return reached() ? store.newest(topic, part, after) : unreached();
      }

      private boolean reached() {
        return !down && reachesStore.test(Node.this);
      }

      private <T> CompletionStage<T> unreached() {
        return CompletableFuture.failedFuture(
            new StoreException(StoreException.Kind.NOT_DONE, "unreached"));
      }
    }
  }
}

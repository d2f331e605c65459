package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** Gateways that watch each other, with the list in which they are entered. */
final class WatchedFleet extends VirtualFleet<WatchedFleet.Node> {

  private static final Duration LIST_DELAY = Duration.ofMillis(50);

  /** Time after which a process that finds itself removed enters itself again. */
  private static final Duration RETURN_DELAY = Duration.ofMillis(500);

  /** Names of the instances that were removed while they were alive, one for each time. */
  int removedAlive;

  /** Whether the store refuses all writes. */
  boolean storeAway;

  WatchedFleet(VirtualLoop time, int instances, int dataCentres) {
    super(time);
    startAll(instances, dataCentres);
  }

  @Override
  protected Node create(String name, String dataCentre, int boot) {
    return new Node(name, dataCentre, boot);
  }

  /** Returns the names that the list of an instance has beside its own. */
  static List<String> listed(Node at) {
    return at.fleet.others().stream().map(GatewayInstance::name).sorted().toList();
  }

  private void remove(GatewayInstance lost) {
    Node removed = nodes.get(lost.name());
    removedAlive += removed.down ? 0 : 1;
    after(LIST_DELAY, () -> nodes.values().forEach(each -> each.fleet.remove(lost.name())));
    if (!removed.down) {
      after(RETURN_DELAY, () -> nodes.values().forEach(each -> each.fleet.put(removed.instance())));
    }
  }

  private void after(Duration delay, Runnable action) {
    time.loop().schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** One gateway. */
  final class Node extends VirtualFleet<Node>.Node {

    private Node(String name, String dataCentre, int boot) {
      super(name, dataCentre, boot);
      onMessage(this::answer);
      new InstanceWatch(
              fleet, this, time.loop(), time, new RecordingEventLog(), this::removeUnlessDown)
          .start();
    }

    private void answer(PeerCodec.Envelope envelope) {
      if (envelope.message() instanceof PeerMessage.Ping) {
        send(nodes.get(envelope.sender()).instance(), new PeerMessage.Pong());
      }
    }

    private CompletionStage<Void> removeUnlessDown(GatewayInstance lost) {
      if (down || storeAway) {
        return CompletableFuture.failedFuture(new IllegalStateException("no store"));
      }
      remove(lost);
      return CompletableFuture.completedFuture(null);
    }
  }
}

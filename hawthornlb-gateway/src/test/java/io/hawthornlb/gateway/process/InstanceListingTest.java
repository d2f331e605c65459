package io.hawthornlb.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.peer.FleetView;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.hawthornlb.gateway.store.KeyedFollower;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.StoreException;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

/**
 * Covers how a process registers itself, and removes other processes that the list does not
 * contain.
 */
class InstanceListingTest {

  private final VirtualLoop time = new VirtualLoop();
  private final InMemoryLogStore store = new InMemoryLogStore(time.loop(), 1);
  private final FleetView fleet = new FleetView(instance("self"));

  /**
   * Guards against calls to an instance that left long ago, each of which waits for a timeout. The
   * removal was in a part of the log that the store had deleted, and the list loaded instead was
   * only added to the known instances.
   */
  @Test
  void removesAnInstanceMissingFromACompleteList() {
    InstanceSource other = source(new FleetView(instance("other")));
    other.announce();
    InstanceSource source = source(fleet);
    source.announce();
    follow(source);
    time.advance(Duration.ofMillis(50));
    assertEquals(1, fleet.others().size());

    store.silence();
    store.append(
        new AppendCall(InstanceSource.TOPIC, 0, List.of(new KeyedRecord("other", null)), null));
    store.forgetHistory(InstanceSource.TOPIC, 0);
    store.cutReads();
    time.advance(Duration.ofSeconds(3));

    assertEquals(List.of(), fleet.others());
    assertEquals("self", fleet.self().name());
  }

  /**
   * Guards against an instance that receives no datagrams for seconds after its start without a
   * reason in its log. The store had refused the calls that register the instance, and only the
   * retries were visible.
   */
  @Test
  void logsWhyItIsNotListedAndRetries() {
    RefusingStore refusing = new RefusingStore();
    RecordingEventLog log = new RecordingEventLog();
    InstanceSource source = new InstanceSource(fleet, refusing, time.loop(), time, log);
    source.announce();
    time.advance(Duration.ofMillis(100));
    assertEquals(List.of("fleet.announce.failed"), log.events());
    refusing.refusing = false;
    time.advance(Duration.ofSeconds(1));
    assertEquals(1, refusing.accepted);
    assertEquals(List.of("fleet.announce.failed"), log.events());
  }

  @Test
  void logsWhyItIsStillListedAfterLeaving() {
    RecordingEventLog log = new RecordingEventLog();
    new InstanceSource(fleet, new RefusingStore(), time.loop(), time, log).leave();
    time.advance(Duration.ofMillis(100));
    assertEquals(List.of("fleet.leave.failed"), log.events());
  }

  /** Log store that refuses appends. */
  private final class RefusingStore extends InMemoryLogStore {

    private boolean refusing = true;
    private int accepted;

    private RefusingStore() {
      super(time.loop(), 1);
    }

    @Override
    public CompletionStage<Appended> append(AppendCall call) {
      if (refusing) {
        return CompletableFuture.failedFuture(
            new StoreException(StoreException.Kind.NOT_DONE, "the store answered 503"));
      }
      accepted++;
      return super.append(call);
    }
  }

  private void follow(InstanceSource source) {
    new KeyedFollower(
            store,
            InstanceSource.TOPIC,
            0,
            KeyedFollower.RELAXED_WAIT,
            time.loop(),
            time,
            new RecordingEventLog(),
            source)
        .start();
  }

  private InstanceSource source(FleetView view) {
    return new InstanceSource(view, store, time.loop(), time, new RecordingEventLog());
  }

  private static GatewayInstance instance(String name) {
    return new GatewayInstance(name, name + "~1", new InetSocketAddress("127.0.0.1", 1), "a");
  }
}

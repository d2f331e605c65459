package io.hawthornlb.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.SilentEventLog;
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

/** How a process is listed, and forgets others that the list lacks. */
class InstanceListingTest {

  private final VirtualLoop time = new VirtualLoop();
  private final InMemoryLogStore store = new InMemoryLogStore(time.loop(), 1);
  private final FleetView fleet = new FleetView(instance("self"));

  /**
   * Calls go to an instance that left long ago, and each waits until it seems silent. Its end was
   * in a part of the history that the store forgot, and the list that was loaded in its place was
   * only added to what was known.
   */
  @Test
  void forgetsAnInstanceThatTheWholeListLacks() {
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
   * An instance gets no datagrams for seconds after its start, and its log does not tell why: the
   * store had turned away the calls by which it is listed, and only the repeats were seen.
   */
  @Test
  void tellsWhyItIsNotListedAndRepeats() {
    TurningAway away = new TurningAway();
    SilentEventLog log = new SilentEventLog();
    InstanceSource source = new InstanceSource(fleet, away, time.loop(), time, log);
    source.announce();
    time.advance(Duration.ofMillis(100));
    assertEquals(List.of("fleet.announce.failed"), log.events());
    away.turning = false;
    time.advance(Duration.ofSeconds(1));
    assertEquals(1, away.taken);
    assertEquals(List.of("fleet.announce.failed"), log.events());
  }

  @Test
  void tellsWhyItIsStillListedAfterItLeft() {
    SilentEventLog log = new SilentEventLog();
    new InstanceSource(fleet, new TurningAway(), time.loop(), time, log).leave();
    time.advance(Duration.ofMillis(100));
    assertEquals(List.of("fleet.leave.failed"), log.events());
  }

  /** Log that turns writers away. */
  private final class TurningAway extends InMemoryLogStore {

    private boolean turning = true;
    private int taken;

    private TurningAway() {
      super(time.loop(), 1);
    }

    @Override
    public CompletionStage<Appended> append(AppendCall call) {
      if (turning) {
        return CompletableFuture.failedFuture(
            new StoreException(StoreException.Kind.NOT_DONE, "The store answered 503"));
      }
      taken++;
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
            new SilentEventLog(),
            source)
        .start();
  }

  private InstanceSource source(FleetView view) {
    return new InstanceSource(view, store, time.loop(), time, new SilentEventLog());
  }

  private static GatewayInstance instance(String name) {
    return new GatewayInstance(name, name + "~1", new InetSocketAddress("127.0.0.1", 1), "a");
  }
}

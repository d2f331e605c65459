package io.hawthornlb.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.SilentEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.peer.FleetView;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.hawthornlb.gateway.store.KeyedFollower;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class InstanceSourceTest {

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

  private void follow(InstanceSource source) {
    new KeyedFollower(
            store,
            InstanceSource.TOPIC,
            0,
            KeyedFollower.UNHURRIED,
            time.loop(),
            time,
            new SilentEventLog(),
            source)
        .start();
  }

  private InstanceSource source(FleetView view) {
    return new InstanceSource(view, store, time.loop(), new SilentEventLog());
  }

  private static GatewayInstance instance(String name) {
    return new GatewayInstance(name, name + "~1", new InetSocketAddress("127.0.0.1", 1), "a");
  }
}

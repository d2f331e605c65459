package io.hawthornlb.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.SilentEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.decode.ForeignBytes;
import io.hawthornlb.gateway.peer.FleetView;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class InstanceSourceTest {

  private static final byte[] NOISE = {(byte) 0xff};

  private final VirtualLoop time = new VirtualLoop();
  private final InMemoryLogStore store = new InMemoryLogStore(time.loop(), 1);
  private final SilentEventLog log = new SilentEventLog();
  private final FleetView fleet = new FleetView(instance("g1"));
  private final InstanceSource source = new InstanceSource(fleet, store, time.loop(), time, log);

  /**
   * A gateway runs no job for as long as it lives, and takes no part in the fleet: the list holds
   * one entry of another writer, and reading the list ended there.
   */
  @Test
  void readsTheListWithForeignEntries() throws IOException {
    source.onAll(
        List.of(
            new KeyedRecord("", entry("127.0.0.1", 9, 1)),
            new KeyedRecord("bad", NOISE),
            new KeyedRecord("blank", entry("", 9, 1)),
            new KeyedRecord("named", entry("localhost", 9, 1)),
            new KeyedRecord("portless", entry("127.0.0.1", 0, 1)),
            new KeyedRecord("far", entry("127.0.0.1", 70_000, 1)),
            new KeyedRecord("nan", entry("127.0.0.1", 9, Double.NaN)),
            new KeyedRecord("giant", entry("127.0.0.1", 9, 1e300)),
            new KeyedRecord("g2", entry("127.0.0.1", 9, 1))));
    assertTrue(source.loaded());
    assertEquals(List.of("g2"), fleet.others().stream().map(GatewayInstance::name).toList());
  }

  /** A peer that lives and serves stays in the fleet, since its own entry comes back. */
  @Test
  void keepsAPeerWhoseEntryWasDestroyed() throws IOException {
    source.onAll(List.of(new KeyedRecord("g2", entry("127.0.0.1", 9, 1))));
    source.onRecords(List.of(new KeyedRecord("g2", NOISE)));
    source.onRecords(List.of(new KeyedRecord("g2", NOISE)));
    assertEquals(1, fleet.others().size());
    assertEquals(1, log.events().stream().filter("fleet.entry.unreadable"::equals).count());
  }

  /**
   * A process works alone until it is restarted: another writer destroyed its entry, or the one
   * before it under its name took it off when it stopped, and nobody else learned of it any more.
   */
  @Test
  void listsItselfAnewWhenItsEntryIsDestroyedOrGone() {
    source.announce();
    time.advance(Duration.ofMillis(10));
    write(NOISE);
    source.onRecords(List.of(new KeyedRecord("g1", NOISE)));
    time.advance(Duration.ofSeconds(1));
    assertTrue(listed());
    write(null);
    source.onRecords(List.of(new KeyedRecord("g1", null)));
    time.advance(Duration.ofSeconds(1));
    assertTrue(listed());
    source.leave();
    source.onRecords(List.of(new KeyedRecord("g1", null)));
    time.advance(Duration.ofSeconds(1));
    assertTrue(!listed());
  }

  @Property(tries = 1_000, seed = ForeignBytes.SEED)
  void anEntryIsAnInstanceOrUnreadable(@ForAll long seed) throws IOException {
    byte[] bytes = ForeignBytes.of(entry("127.0.0.1", 9, 1), new Random(seed));
    List<KeyedRecord> records =
        List.of(new KeyedRecord("bad", bytes), new KeyedRecord("g2", entry("127.0.0.1", 9, 1)));
    ForeignBytes.read(
        bytes.length,
        () -> {
          source.onAll(records);
          return fleet;
        });
    assertTrue(source.loaded());
    assertTrue(fleet.find("g2") != null);
    fleet.others().forEach(each -> assertTrue(each.address().getPort() > 0));
  }

  private void write(byte[] value) {
    KeyedRecord record = new KeyedRecord("g1", value);
    store.append(new AppendCall(InstanceSource.TOPIC, 0, List.of(record), null));
  }

  private boolean listed() {
    return store
        .newest(InstanceSource.TOPIC, 0, null)
        .toCompletableFuture()
        .join()
        .records()
        .stream()
        .anyMatch(each -> each.key().equals("g1") && each.value().length > NOISE.length);
  }

  private static GatewayInstance instance(String name) {
    return new GatewayInstance(name, name + "~1", new InetSocketAddress("127.0.0.1", 7), "a");
  }

  private static byte[] entry(String host, int port, double cores) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString("boot~1").packString(host).packInt(port).packString("a");
      packer.packDouble(cores);
      return packer.toByteArray();
    }
  }
}

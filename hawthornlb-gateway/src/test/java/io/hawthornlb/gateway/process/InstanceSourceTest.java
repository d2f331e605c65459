package io.hawthornlb.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
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

  private static final byte[] GARBAGE = {(byte) 0xff};

  private final VirtualLoop time = new VirtualLoop();
  private final InMemoryLogStore store = new InMemoryLogStore(time.loop(), 1);
  private final RecordingEventLog log = new RecordingEventLog();
  private final FleetView fleet = new FleetView(instance("g1"));
  private final InstanceSource source = new InstanceSource(fleet, store, time.loop(), time, log);

  /**
   * Guards against a gateway that runs no jobs and takes no part in the fleet, because reading the
   * list stops at an entry of another writer.
   */
  @Test
  void readsAListThatContainsForeignEntries() throws IOException {
    source.onAll(
        List.of(
            new KeyedRecord("", entry("127.0.0.1", 9, 1)),
            new KeyedRecord("bad", GARBAGE),
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

  /**
   * A running peer stays in the fleet although its entry was overwritten, because the peer restores
   * its own entry.
   */
  @Test
  void keepsAPeerWhoseEntryWasOverwritten() throws IOException {
    source.onAll(List.of(new KeyedRecord("g2", entry("127.0.0.1", 9, 1))));
    source.onRecords(List.of(new KeyedRecord("g2", GARBAGE)));
    source.onRecords(List.of(new KeyedRecord("g2", GARBAGE)));
    assertEquals(1, fleet.others().size());
    assertEquals(1, log.events().stream().filter("fleet.entry.unreadable"::equals).count());
  }

  /**
   * Guards against a process that stays unknown to its peers until it is restarted. Another writer
   * overwrote its entry, or the previous process of the same name removed the entry when it
   * stopped.
   */
  @Test
  void registersItselfAgainWhenItsEntryIsOverwrittenOrRemoved() {
    source.announce();
    time.advance(Duration.ofMillis(10));
    write(GARBAGE);
    source.onRecords(List.of(new KeyedRecord("g1", GARBAGE)));
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
  void decodesAnEntryOrReportsItUnreadable(@ForAll long seed) throws IOException {
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
        .anyMatch(each -> each.key().equals("g1") && each.value().length > GARBAGE.length);
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

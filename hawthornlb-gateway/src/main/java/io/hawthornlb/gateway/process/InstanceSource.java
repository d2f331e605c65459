package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.decode.IpAddress;
import io.hawthornlb.gateway.decode.MessageReader;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.decode.UnreadableRecords;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.peer.FleetView;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.hawthornlb.gateway.store.KeyedFollower;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Lists this process in the store, and keeps the view of the fleet as the store tells. */
final class InstanceSource implements KeyedFollower.Listener {

  /** Keyed topic of the processes, by their names. */
  static final String TOPIC = "keyed.instances";

  private static final int MAX_PORT = 65_535;

  /** Cores of an instance at most; the largest machines have some hundreds. */
  private static final double MAX_CORES = 1_024;

  /** Pause before this process is listed again after a failure. */
  private static final Duration REPEAT = Duration.ofMillis(500);

  private final FleetView fleet;
  private final LogStore store;
  private final ScheduledExecutorService executor;
  private final EventLog log;
  private final UnreadableRecords unreadable;
  private boolean announcing;
  private boolean leaving;
  private boolean loaded;

  InstanceSource(
      FleetView fleet,
      LogStore store,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log) {
    this.fleet = fleet;
    this.store = store;
    this.executor = executor;
    this.log = log;
    this.unreadable = new UnreadableRecords(log, clock, "fleet", "entry.unreadable", "instance");
  }

  /** Lists this process; repeats until the store has taken it. */
  void announce() {
    if (leaving) {
      return;
    }
    announcing = true;
    KeyedRecord record = new KeyedRecord(fleet.self().name(), encode(fleet.self()));
    store
        .append(new AppendCall(TOPIC, 0, List.of(record), null))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure != null) {
                failed("announce.failed", failure);
                executor.schedule(this::announce, REPEAT.toMillis(), TimeUnit.MILLISECONDS);
              } else {
                announcing = false;
              }
            },
            executor);
  }

  /** Takes this process off the list. */
  void leave() {
    leaving = true;
    KeyedRecord record = new KeyedRecord(fleet.self().name(), null);
    store
        .append(new AppendCall(TOPIC, 0, List.of(record), null))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure != null) {
                // Peers pass this process over once it is silent.
                failed("leave.failed", failure);
              }
            },
            executor);
  }

  private void failed(String event, Throwable failure) {
    log.important("fleet", event).with("cause", String.valueOf(failure.getMessage())).write();
  }

  /** Returns whether the list was read. */
  boolean loaded() {
    return loaded;
  }

  @Override
  public void onAll(List<KeyedRecord> records) {
    Set<String> listed = records.stream().map(KeyedRecord::key).collect(Collectors.toSet());
    fleet.others().stream()
        .map(GatewayInstance::name)
        .filter(name -> !listed.contains(name))
        .forEach(fleet::remove);
    onRecords(records);
    loaded = true;
  }

  @Override
  public void onRecords(List<KeyedRecord> records) {
    for (KeyedRecord record : records) {
      byte[] value = record.value();
      if (value == null) {
        unreadable.forget(record.key());
        fleet.remove(record.key());
        announceAnew(record.key());
      } else {
        take(record.key(), value);
      }
    }
    log.important("fleet", "list.changed").with("others", fleet.others().size()).write();
  }

  /**
   * Takes an entry.
   *
   * <p>Failure: another writer destroys the entry of a process that lives. It shows as partitions
   * and coordinators that move though nothing has stopped. Guard: an entry that cannot be read
   * changes nothing, since a process that is gone is noticed by its silence, and one that lives
   * writes its entry anew.
   */
  private void take(String name, byte[] value) {
    try {
      fleet.put(decode(name, value));
      unreadable.forget(name);
    } catch (UnreadableException e) {
      unreadable.report(name, e);
      announceAnew(name);
    }
  }

  /** Lists this process again if the entry that is gone or destroyed is its own. */
  private void announceAnew(String name) {
    if (!name.equals(fleet.self().name()) || leaving || announcing) {
      return;
    }
    log.important("fleet", "listed.anew").with("instance", name).write();
    announcing = true;
    executor.schedule(this::announce, REPEAT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static byte[] encode(GatewayInstance instance) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(instance.boot());
      packer.packString(instance.address().getAddress().getHostAddress());
      packer.packInt(instance.address().getPort());
      packer.packString(instance.dataCentre());
      packer.packDouble(instance.cores());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  private static GatewayInstance decode(String name, byte[] value) {
    return MessageReader.read(
        "instance",
        value,
        reader -> {
          String boot = reader.text();
          String host = reader.text();
          InetSocketAddress address =
              IpAddress.of("address", host, reader.number("port", 1, MAX_PORT));
          String dataCentre = reader.text();
          double cores = reader.positive("cores", MAX_CORES);
          return new GatewayInstance(name, boot, address, dataCentre, cores);
        });
  }
}

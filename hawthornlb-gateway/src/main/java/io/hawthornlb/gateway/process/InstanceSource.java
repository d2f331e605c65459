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
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Registers this process in the instance list of the store, and updates the view of the fleet from
 * that list.
 */
final class InstanceSource implements KeyedFollower.Listener {

  /** Keyed topic of the processes; the key is the name of the instance. */
  static final String TOPIC = "keyed.instances";

  private static final int MAX_PORT = 65_535;

  /** Maximum number of cores of an instance; the largest machines have some hundreds. */
  private static final double MAX_CORES = 1_024;

  /** Delay before this process is registered again after a failure or the loss of its entry. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

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

  /** Registers this process; retries until the store has accepted the entry. */
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
                logFailure("announce.failed", failure);
                executor.schedule(this::announce, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
              } else {
                announcing = false;
              }
            },
            executor);
  }

  /** Removes this process from the list. */
  void leave() {
    leaving = true;
    KeyedRecord record = new KeyedRecord(fleet.self().name(), null);
    store
        .append(new AppendCall(TOPIC, 0, List.of(record), null))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure != null) {
                // Peers exclude this process once it does not answer any more.
                logFailure("leave.failed", failure);
              }
            },
            executor);
  }

  /**
   * Removes another process that was lost from the list. If it is alive, it registers again.
   *
   * @return a stage that fails if the process may still be listed
   */
  CompletionStage<Void> remove(GatewayInstance lost) {
    KeyedRecord record = new KeyedRecord(lost.name(), null);
    return store
        .append(new AppendCall(TOPIC, 0, List.of(record), null))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure != null) {
                // The watch that found it lost removes it again.
                logFailure("remove.failed", failure);
              }
            },
            executor)
        .thenApply(done -> null);
  }

  private void logFailure(String event, Throwable failure) {
    log.important("fleet", event).with("cause", String.valueOf(failure.getMessage())).write();
  }

  /** Returns whether the list has been read. */
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
        reannounceIfSelf(record.key());
      } else {
        apply(record.key(), value);
      }
    }
    log.important("fleet", "list.changed").with("others", fleet.others().size()).write();
  }

  /**
   * Applies an entry.
   *
   * <p>Another writer may overwrite the entry of a running process. If peers removed that process,
   * partitions and coordinators would move although nothing has stopped. An unreadable entry
   * therefore changes nothing: a process that is gone is detected because it does not answer, and a
   * running process writes its entry again.
   */
  private void apply(String name, byte[] value) {
    try {
      fleet.put(decode(name, value));
      unreadable.forget(name);
    } catch (UnreadableException e) {
      unreadable.report(name, e);
      reannounceIfSelf(name);
    }
  }

  /** Registers this process again if the entry that was removed or overwritten is its own. */
  private void reannounceIfSelf(String name) {
    if (!name.equals(fleet.self().name()) || leaving || announcing) {
      return;
    }
    log.important("fleet", "listed.anew").with("instance", name).write();
    announcing = true;
    executor.schedule(this::announce, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
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
      throw new UncheckedIOException("writing to an in-memory buffer failed", e);
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

package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.decode.UnreadableRecords;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.endpoint.VersionHistory;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.store.KeyedFollower;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Updates the endpoint directory from the store. */
final class EndpointSource implements KeyedFollower.Listener {

  /**
   * Shortest outage in which entries can expire. An entry expires 3.6 s after the last heartbeat,
   * and that heartbeat is up to 1.2 s old when the outage begins. If a shorter failure counted as
   * an outage, a single failed read would keep a leaving endpoint in use for 2.3 s, longer than the
   * endpoint stays.
   */
  private static final Duration MIN_EXPIRY_OUTAGE = Duration.ofSeconds(2);

  private final SourceFormats formats;
  private final EndpointDirectory directory;
  private final VersionHistory versions;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final UnreadableRecords unreadable;
  private boolean loaded;

  EndpointSource(
      SourceFormats formats,
      EndpointDirectory directory,
      VersionHistory versions,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log) {
    this.formats = formats;
    this.directory = directory;
    this.versions = versions;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
    this.unreadable = new UnreadableRecords(log, clock, "endpoint", "unreadable", "endpoint");
  }

  boolean loaded() {
    return loaded;
  }

  @Override
  public void onAll(List<KeyedRecord> records) {
    List<EndpointRecord> entries = new ArrayList<>();
    for (KeyedRecord record : records) {
      byte[] value = record.value();
      if (value != null) {
        read(record.key(), value).ifPresent(entries::add);
      }
    }
    directory.replaceAll(entries, clock.instant());
    versions.restart();
    loaded = true;
    scheduleExpiry();
    log.important("endpoint", "list.loaded").with("entries", directory.size()).write();
  }

  @Override
  public void onRecords(List<KeyedRecord> records) {
    for (KeyedRecord record : records) {
      byte[] value = record.value();
      if (value == null) {
        log.important("endpoint", "removed").with("endpoint", record.key()).write();
        unreadable.forget(record.key());
        directory.remove(record.key(), clock.instant());
        scheduleExpiry();
      } else {
        read(record.key(), value).ifPresent(this::put);
      }
    }
  }

  @Override
  public void onStoreRecovered(Duration outage) {
    if (outage.compareTo(MIN_EXPIRY_OUTAGE) >= 0) {
      directory.outageEnded(clock.instant());
    }
  }

  private void put(EndpointRecord entry) {
    if (directory.isSuperseded(entry.incarnation())) {
      log.important("endpoint", "entry.late")
          .with("endpoint", entry.id())
          .with("born", entry.born())
          .write();
      return;
    }
    Optional<EndpointRecord> previous = directory.find(entry.id());
    if (previous.isEmpty() || previous.get().leaving() != entry.leaving()) {
      log.important("endpoint", entry.leaving() ? "leaving" : "offered")
          .with("endpoint", entry.id())
          .with("service", entry.service())
          .with("version", entry.version())
          .write();
    }
    if (previous.isPresent() && entry.incarnation().follows(previous.get().incarnation())) {
      log.important("endpoint", "restarted")
          .with("endpoint", entry.id())
          .with("born", entry.born())
          .with("formerBorn", previous.get().born())
          .write();
    }
    directory.put(entry);
  }

  /**
   * Decodes an entry; empty if the entry is unreadable.
   *
   * <p>Another writer may overwrite an endpoint's entry with bytes that cannot be read. If the
   * previous entry stayed in use, the gateway would not notice when that endpoint leaves. The
   * gateway therefore stops using the endpoint until a heartbeat restores its entry.
   */
  private Optional<EndpointRecord> read(String id, byte[] value) {
    try {
      EndpointRecord entry = formats.endpoint(id, value);
      unreadable.forget(id);
      return Optional.of(entry);
    } catch (UnreadableException e) {
      unreadable.report(id, e);
      if (directory.find(id).isPresent()) {
        log.important("endpoint", "withdrawn")
            .with("endpoint", id)
            .with("cause", e.getMessage())
            .write();
        directory.withdraw(id);
      }
      return Optional.empty();
    }
  }

  private void scheduleExpiry() {
    long millis = EndpointDirectory.MAX_GRACE.plusMillis(20).toMillis();
    executor.schedule(() -> directory.expire(clock.instant()), millis, TimeUnit.MILLISECONDS);
  }
}

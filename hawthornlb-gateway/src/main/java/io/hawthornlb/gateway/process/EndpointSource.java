package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.decode.UnreadableRecords;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
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

/** Keeps the endpoint directory as the store tells. */
final class EndpointSource implements KeyedFollower.Listener {

  /**
   * Shortest outage in which entries can lapse: they do after 3.6 s without a heartbeat, and the
   * last one is up to 1.2 s old when the outage begins. Were shorter failures taken for outages, a
   * read that failed once would keep an endpoint that leaves in use for 2.3 s, longer than it
   * stays.
   */
  private static final Duration LAPSING_OUTAGE = Duration.ofSeconds(2);

  private final SourceFormats formats;
  private final EndpointDirectory directory;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final UnreadableRecords unreadable;
  private boolean loaded;

  EndpointSource(
      SourceFormats formats,
      EndpointDirectory directory,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log) {
    this.formats = formats;
    this.directory = directory;
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
    loaded = true;
    expireLater();
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
        expireLater();
      } else {
        read(record.key(), value).ifPresent(this::put);
      }
    }
  }

  @Override
  public void onStoreRecovered(Duration outage) {
    if (outage.compareTo(LAPSING_OUTAGE) >= 0) {
      directory.outageEnded(clock.instant());
    }
  }

  private void put(EndpointRecord entry) {
    if (directory.former(entry.life())) {
      log.important("endpoint", "entry.late")
          .with("endpoint", entry.id())
          .with("born", entry.born())
          .write();
      return;
    }
    Optional<EndpointRecord> former = directory.find(entry.id());
    if (former.isEmpty() || former.get().leaving() != entry.leaving()) {
      log.important("endpoint", entry.leaving() ? "leaving" : "offered")
          .with("endpoint", entry.id())
          .with("service", entry.service())
          .write();
    }
    if (former.isPresent() && entry.life().follows(former.get().life())) {
      log.important("endpoint", "restarted")
          .with("endpoint", entry.id())
          .with("born", entry.born())
          .with("formerBorn", former.get().born())
          .write();
    }
    directory.put(entry);
  }

  /**
   * Reads an entry; empty if it names no endpoint.
   *
   * <p>Failure: another writer replaces the entry of an endpoint by what cannot be read. It shows
   * as an endpoint that stays in use with what it said before, and whose leaving nobody learns of.
   * Guard: such an entry names no endpoint, so the one under its key is used no longer, until a
   * heartbeat brings its entry back.
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

  private void expireLater() {
    long millis = EndpointDirectory.MAX_GRACE.plusMillis(20).toMillis();
    executor.schedule(() -> directory.expire(clock.instant()), millis, TimeUnit.MILLISECONDS);
  }
}

package io.hawthornlb.gateway.crash.support;

import io.hawthornlb.core.crash.PartEvidence;
import io.hawthornlb.core.crash.PartSuspicions;
import io.hawthornlb.gateway.crash.EvidenceChannel;
import io.hawthornlb.gateway.crash.EvidenceCodec;
import io.hawthornlb.gateway.crash.EvidenceReceiver;
import io.hawthornlb.gateway.crash.PartUpdate;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.decode.UnreadableRecords;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.store.KeyedFollower;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.StoreException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Evidence in the platform's store, which survives the loss of all instances and reaches those that
 * have just started.
 *
 * <p>The key is the part; a part on which an answer has begun has no record. Two instances may
 * write the record of a part at the same time, and the later one replaces the other's. Each
 * instance therefore writes again what it has contributed to if a record lacks some of it.
 */
public final class StoredEvidence implements EvidenceChannel, KeyedFollower.Listener {

  /** Keyed topic of the evidence; the key is the id of the part. */
  public static final String TOPIC = "keyed.crashes";

  private static final int PARTITION = 0;

  /** Pause before an append that failed is made again. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  /** Longest time until the record of a part that nobody asks for is deleted. */
  private static final Duration MAX_EXPIRY_DELAY = Duration.ofMinutes(2);

  /** Longest time until the record of a cleared part against which one crash spoke is deleted. */
  private static final Duration MAX_CLEARING_DELAY = Duration.ofMillis(800);

  /** Maximum number of parts that wait to be written; bounds the memory during an outage. */
  private static final int MAX_WAITING = 2_000;

  private final PartSuspicions suspicions;
  private final EvidenceReceiver receiver;
  private final EvidenceChannel fallback;
  private final LogStore store;
  private final ScheduledExecutorService executor;
  private final EventLog log;
  private final UnreadableRecords unreadable;
  private final Map<String, PartUpdate> waiting = new LinkedHashMap<>();
  private final Set<String> contributed = new HashSet<>();
  private final Set<String> obsolete = new HashSet<>();
  private final Set<String> told = new HashSet<>();
  private boolean appending;

  /**
   * Creates a channel that does all its work on the executor.
   *
   * @param fallback tells updates that the store did not take
   */
  public StoredEvidence(
      PartSuspicions suspicions,
      EvidenceReceiver receiver,
      EvidenceChannel fallback,
      LogStore store,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log) {
    this.suspicions = suspicions;
    this.receiver = receiver;
    this.fallback = fallback;
    this.store = store;
    this.executor = executor;
    this.log = log;
    this.unreadable = new UnreadableRecords(log, clock, "crash", "record.unreadable", "part");
  }

  @Override
  public void publish(List<PartUpdate> updates, boolean urgent) {
    if (urgent || updates.get(0).evidence() != null) {
      write(updates);
      return;
    }
    Set<String> cleared = new HashSet<>();
    updates.forEach(update -> cleared.add(update.part()));
    cleared.forEach(contributed::remove);
    deleteLater(cleared, MAX_CLEARING_DELAY);
  }

  private void write(List<PartUpdate> updates) {
    for (PartUpdate update : updates) {
      if (update.evidence() == null) {
        contributed.remove(update.part());
      } else {
        contributed.add(update.part());
      }
      told.remove(update.part());
      if (waiting.size() < MAX_WAITING || waiting.containsKey(update.part())) {
        waiting.put(update.part(), update);
      }
    }
    append();
  }

  @Override
  public void expired(Set<String> parts) {
    if (!parts.isEmpty()) {
      deleteLater(parts, MAX_EXPIRY_DELAY);
    }
  }

  /**
   * Deletes records after a random time, unless another instance has deleted them or they speak of
   * crashes again. All instances notice at about the same time that a record is obsolete, and the
   * first one that deletes it spares the others the call.
   */
  private void deleteLater(Set<String> parts, Duration longest) {
    obsolete.addAll(parts);
    long millis = ThreadLocalRandom.current().nextLong(longest.toMillis());
    executor.schedule(() -> deleteNow(parts), millis, TimeUnit.MILLISECONDS);
  }

  private void deleteNow(Set<String> parts) {
    List<PartUpdate> deletions = new ArrayList<>();
    for (String part : parts) {
      if (obsolete.remove(part) && suspicions.evidence(part).isEmpty()) {
        deletions.add(new PartUpdate(part, null));
      }
    }
    write(deletions);
  }

  private void append() {
    if (appending || waiting.isEmpty()) {
      return;
    }
    appending = true;
    Map<String, PartUpdate> sent = new LinkedHashMap<>(waiting);
    List<KeyedRecord> records = new ArrayList<>();
    sent.values().forEach(update -> records.add(record(update)));
    call(new AppendCall(TOPIC, PARTITION, records, null))
        .whenCompleteAsync((done, failure) -> onAppended(sent, failure), executor);
  }

  private void onAppended(Map<String, PartUpdate> sent, @Nullable Throwable failure) {
    appending = false;
    if (failure == null) {
      // An update of the same part may have come meanwhile.
      sent.forEach(waiting::remove);
      sent.keySet().forEach(told::remove);
      append();
      return;
    }
    log.important("crash", "write.failed")
        .with("cause", String.valueOf(failure.getMessage()))
        .write();
    List<PartUpdate> untold =
        sent.values().stream().filter(update -> told.add(update.part())).toList();
    fallback.publish(untold, true);
    executor.schedule(this::append, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private CompletionStage<LogStore.Appended> call(AppendCall append) {
    try {
      return store.append(append);
    } catch (StoreException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static KeyedRecord record(PartUpdate update) {
    PartEvidence evidence = update.evidence();
    return new KeyedRecord(update.part(), evidence == null ? null : EvidenceCodec.encode(evidence));
  }

  @Override
  public void onAll(List<KeyedRecord> records) {
    Set<String> listed = new HashSet<>();
    records.forEach(record -> listed.add(record.key()));
    for (String part : suspicions.suspected().keySet()) {
      if (!listed.contains(part) && !contributed.contains(part)) {
        receiver.receive("store", new PartUpdate(part, null));
      }
    }
    onRecords(records);
  }

  @Override
  public void onRecords(List<KeyedRecord> records) {
    for (KeyedRecord record : records) {
      try {
        apply(EvidenceCodec.part(record.key()), record.value());
        unreadable.forget(record.key());
      } catch (UnreadableException e) {
        unreadable.report(record.key(), e);
      }
    }
  }

  private void apply(String part, byte @Nullable [] value) {
    if (value == null) {
      contributed.remove(part);
      obsolete.remove(part);
      receiver.receive("store", new PartUpdate(part, null));
      return;
    }
    PartEvidence stored = EvidenceCodec.decode(value);
    receiver.receive("store", new PartUpdate(part, stored));
    if (suspicions.evidence(part).isEmpty()) {
      expired(Set.of(part));
    }
    if (contributed.contains(part)) {
      suspicions
          .evidence(part)
          .filter(known -> !stored.covers(known))
          .ifPresent(known -> write(List.of(new PartUpdate(part, known))));
    }
  }
}

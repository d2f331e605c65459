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

  /**
   * Longest time until an outdated record is deleted. All instances notice it at about the same
   * time, and the first one that deletes it spares the others the call.
   */
  private static final Duration MAX_DELETION_DELAY = Duration.ofMinutes(2);

  /** Maximum number of parts that wait to be written; bounds the memory during an outage. */
  private static final int MAX_WAITING = 2_000;

  private final PartSuspicions suspicions;
  private final EvidenceReceiver receiver;
  private final LogStore store;
  private final ScheduledExecutorService executor;
  private final EventLog log;
  private final UnreadableRecords unreadable;
  private final Map<String, PartUpdate> waiting = new LinkedHashMap<>();
  private final Set<String> contributed = new HashSet<>();
  private final Set<String> outdated = new HashSet<>();
  private boolean appending;

  /** Creates a channel that does all its work on the executor. */
  public StoredEvidence(
      PartSuspicions suspicions,
      EvidenceReceiver receiver,
      LogStore store,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log) {
    this.suspicions = suspicions;
    this.receiver = receiver;
    this.store = store;
    this.executor = executor;
    this.log = log;
    this.unreadable = new UnreadableRecords(log, clock, "crash", "record.unreadable", "part");
  }

  @Override
  public void publish(List<PartUpdate> updates) {
    for (PartUpdate update : updates) {
      if (update.evidence() == null) {
        contributed.remove(update.part());
      } else {
        contributed.add(update.part());
      }
      if (waiting.size() < MAX_WAITING || waiting.containsKey(update.part())) {
        waiting.put(update.part(), update);
      }
    }
    append();
  }

  @Override
  public void expired(Set<String> parts) {
    if (parts.isEmpty()) {
      return;
    }
    outdated.addAll(parts);
    long millis = ThreadLocalRandom.current().nextLong(MAX_DELETION_DELAY.toMillis());
    executor.schedule(this::deleteOutdated, millis, TimeUnit.MILLISECONDS);
  }

  /** Deletes the records that no other instance has deleted, unless they speak of crashes again. */
  private void deleteOutdated() {
    List<PartUpdate> deletions =
        outdated.stream()
            .filter(part -> suspicions.evidence(part).isEmpty())
            .map(part -> new PartUpdate(part, null))
            .toList();
    outdated.clear();
    publish(deletions);
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
      append();
      return;
    }
    log.important("crash", "write.failed")
        .with("cause", String.valueOf(failure.getMessage()))
        .write();
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
      outdated.remove(part);
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
          .ifPresent(known -> publish(List.of(new PartUpdate(part, known))));
    }
  }
}

package io.hawthornlb.core.runonce.support;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionSection;
import io.hawthornlb.core.runonce.AttemptId;
import io.hawthornlb.core.runonce.EntriesRecorded;
import io.hawthornlb.core.runonce.EntryState;
import io.hawthornlb.core.runonce.KeyState;
import io.hawthornlb.core.runonce.ReplicasNamed;
import io.hawthornlb.core.runonce.ReplicasReleased;
import io.hawthornlb.core.runonce.RunOnceDirectory;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.RunOnceKey;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Default run-once state of a partition, folded from its stream.
 *
 * <p>An entry replaces another entry of its key if it belongs to a later attempt or to a later
 * state of the same attempt. Therefore the state does not depend on the order in which valid
 * records of a key are applied, nor on how often. Results stay in the log.
 */
public final class RunOnceFold implements PartitionSection, RunOnceDirectory {

  private static final Duration EXPIRY_INTERVAL = Duration.ofMinutes(1);

  private final Map<HashValue128, Slot> slots = new HashMap<>();
  private @Nullable ReplicasNamed replicasNamed;
  private boolean released;
  private Instant expiredAt = Instant.EPOCH;

  /** Creates a state without keys. */
  public RunOnceFold() {}

  @Override
  public void apply(LogRecord entry) {
    expire(entry.appendedAt());
    if (entry.body() instanceof EntriesRecorded recorded) {
      for (int i = 0; i < recorded.entries().size(); i++) {
        merge(recorded.entries().get(i), entry, i);
      }
    } else if (entry.body() instanceof ReplicasNamed named) {
      replicasNamed = named;
      released = false;
    } else if (entry.body() instanceof ReplicasReleased end) {
      released = replicasNamed != null && replicasNamed.epoch().equals(end.epoch());
    }
  }

  @Override
  public Optional<KeyState> key(RunOnceKey key) {
    return Optional.ofNullable(slots.get(hash(key))).map(Slot::state);
  }

  @Override
  public boolean sameContent(KeyState state, String fingerprint) {
    return state.fingerprintHash() == fingerprintHash(fingerprint);
  }

  @Override
  public Optional<ReplicasNamed> replicasNamed() {
    return Optional.ofNullable(replicasNamed);
  }

  @Override
  public boolean released() {
    return released;
  }

  @Override
  public int size() {
    return slots.size();
  }

  /**
   * Returns up to {@code max} offsets below a limit whose records hold the state of an unexpired
   * key.
   */
  List<Long> neededBelow(long limit, int max) {
    List<Long> offsets = new ArrayList<>();
    for (Slot slot : slots.values()) {
      if (slot.offset < limit && !offsets.contains(slot.offset)) {
        offsets.add(slot.offset);
      }
      if (offsets.size() == max) {
        break;
      }
    }
    return offsets;
  }

  private void merge(RunOnceEntry entry, LogRecord logRecord, int position) {
    if (entry.expiresAt().isBefore(logRecord.appendedAt())) {
      return;
    }
    Slot slot = slots.computeIfAbsent(hash(entry.key()), key -> new Slot());
    int order = slot.compareTo(entry);
    if (order < 0) {
      slot.set(entry, fingerprintHash(entry.fingerprint()));
    }
    if (order <= 0) {
      slot.offset = logRecord.offset();
      slot.position = position;
    }
  }

  private void expire(Instant appendedAt) {
    if (appendedAt.isBefore(expiredAt.plus(EXPIRY_INTERVAL))) {
      return;
    }
    expiredAt = appendedAt;
    long millis = appendedAt.toEpochMilli();
    slots.values().removeIf(slot -> slot.expiresAtMillis < millis);
  }

  private static HashValue128 hash(RunOnceKey key) {
    return Hashing.murmur3_128().hashCharsTo128Bits(key.workspace().value() + '\n' + key.value());
  }

  private static long fingerprintHash(String fingerprint) {
    return Hashing.wyhashFinal4().hashCharsToLong(fingerprint);
  }

  /** State of one key in a compact form, since there may be hundreds of thousands of keys. */
  private static final class Slot {

    private long fingerprintHash;
    private long epoch = Epoch.NONE.value();
    private long sequence = -1;
    private EntryState state = EntryState.INTENT;
    private long offset;
    private int position;
    private long expiresAtMillis;

    private int compareTo(RunOnceEntry entry) {
      AttemptId other = entry.attempt();
      if (epoch != other.epoch().value()) {
        return Long.compare(epoch, other.epoch().value());
      }
      if (sequence != other.sequence()) {
        return Long.compare(sequence, other.sequence());
      }
      return state.compareTo(entry.state());
    }

    private void set(RunOnceEntry entry, long fingerprint) {
      fingerprintHash = fingerprint;
      epoch = entry.attempt().epoch().value();
      sequence = entry.attempt().sequence();
      state = entry.state();
      expiresAtMillis = entry.expiresAt().toEpochMilli();
    }

    private KeyState state() {
      return new KeyState(
          fingerprintHash,
          new AttemptId(new Epoch(epoch), sequence),
          state,
          offset,
          position,
          Instant.ofEpochMilli(expiresAtMillis));
    }
  }
}

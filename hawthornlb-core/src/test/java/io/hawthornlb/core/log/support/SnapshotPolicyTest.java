package io.hawthornlb.core.log.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.UnknownRecord;
import io.hawthornlb.core.model.InstanceId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class SnapshotPolicyTest {

  private static final SnapshotPolicy POLICY = new SnapshotPolicy(Duration.ofMinutes(10), 3);

  private final RegisterFold fold = new RegisterFold();

  @Test
  void isDueByCountEarlierForThePreferredWriter() {
    put(3);
    assertTrue(POLICY.due(fold.snapshotAge(), now(), true));
    assertFalse(POLICY.due(fold.snapshotAge(), now(), false));
    put(3);
    assertTrue(POLICY.due(fold.snapshotAge(), now(), false));
  }

  @Test
  void isDueByAgeInAnIdleStream() {
    assertFalse(POLICY.due(fold.snapshotAge(), Instant.EPOCH.plusSeconds(99_999), true));
    put(1);
    assertFalse(POLICY.due(fold.snapshotAge(), Instant.EPOCH.plusSeconds(600), true));
    assertTrue(POLICY.due(fold.snapshotAge(), Instant.EPOCH.plusSeconds(601), true));
  }

  @Test
  void isNotDueAfterASnapshotAndIgnoresAnOlderSnapshot() {
    put(2);
    List<RegisterSnapshot> old = fold.snapshot();
    put(4);
    fold.snapshot().forEach(this::apply);
    assertFalse(POLICY.due(fold.snapshotAge(), now(), true));
    put(1);
    old.forEach(this::apply);
    assertEquals(4, fold.snapshotAge().recordsSince());
  }

  // Guards against data loss during an upgrade: an old version reads records of a type that it does
  // not know. A snapshot of its state would lack the effect of these records, and after the records
  // have expired, all instances would have lost it.
  @Test
  void versionThatLacksARecordTypeWritesNoSnapshot() {
    put(1);
    assertEquals(2, fold.snapshot().size());
    apply(new UnknownRecord("newer"));
    assertEquals(List.of(), fold.snapshot());
  }

  @Test
  void versionThatStartedFromANewerSnapshotWritesNoSnapshot() {
    fold.restartAt(7);
    RegisterSnapshot newer =
        new RegisterSnapshot(2, 7, 0, 1, List.of(), java.util.Map.of(1, RegisterState.ZERO));
    fold.apply(new LogRecord(7, Instant.EPOCH, id(7), newer));

    assertTrue(fold.complete());
    assertEquals(List.of(), fold.snapshot());
  }

  @Test
  void rejectsLowerOffsets() {
    put(3);
    assertThrows(IllegalArgumentException.class, () -> fold.restartAt(2));
    assertThrows(
        IllegalArgumentException.class,
        () -> fold.apply(new LogRecord(2, Instant.EPOCH, id(2), new RegisterPut(1, -1, 1))));
  }

  private void put(int count) {
    for (int i = 0; i < count; i++) {
      apply(new RegisterPut(i, -1, 1));
    }
  }

  private void apply(RecordBody body) {
    long offset = fold.nextOffset();
    fold.apply(new LogRecord(offset, Instant.EPOCH.plusMillis(offset), id(offset), body));
  }

  private static RecordId id(long sequence) {
    return new RecordId(new InstanceId("n"), sequence);
  }

  private Instant now() {
    return Instant.EPOCH.plusMillis(fold.nextOffset());
  }
}

package io.hawthornlb.core.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.harness.UnfencedPartitionFold;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.partition.support.DefaultPartitionFold;
import io.hawthornlb.core.runonce.ReplicasNamed;
import io.hawthornlb.core.runonce.support.RunOnceFold;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PartitionFoldTest {

  private static final Duration RETENTION = Duration.ofHours(24);
  private static final InstanceId FIRST = new InstanceId("first");
  private static final InstanceId SECOND = new InstanceId("second");

  private final RunOnceFold section = new RunOnceFold();
  private long offset;

  // Guards against a request that runs twice because a third holder queries the wrong replicas: the
  // first holder sends its record that names the replicas twice, because the answer was lost, and
  // the second copy arrives after the record of the second holder.
  @Test
  void lateRecordOfASupersededEpochIsVoid() {
    PartitionFold fold = new DefaultPartitionFold(0, RETENTION, List.of(section));
    applyReplicaRecords(fold);

    assertEquals(new Epoch(2), section.replicasNamed().orElseThrow().epoch());
    assertEquals(SECOND, fold.opened().orElseThrow().holder());
  }

  @Test
  void withoutEpochCheckTheLateRecordIsApplied() {
    applyReplicaRecords(new UnfencedPartitionFold(List.of(section)));

    assertEquals(new Epoch(1), section.replicasNamed().orElseThrow().epoch());
  }

  // Guards against a partition that stops forever: a holder is paused before its opening record
  // reaches the log, the record arrives after that of its successor, and all instances accept it.
  @Test
  void lateOpeningOfASupersededEpochIsVoid() {
    PartitionFold fold = new DefaultPartitionFold(0, RETENTION, List.of());
    apply(fold, new PartitionOpened(new Epoch(2), SECOND));
    apply(fold, new PartitionOpened(new Epoch(1), FIRST));

    assertEquals(SECOND, fold.opened().orElseThrow().holder());
    assertEquals(0, fold.openedAt());
  }

  @Test
  void readerOfATruncatedStreamIsCompleteAfterAWholeSnapshotRound() {
    PartitionFold fold = new DefaultPartitionFold(100, RETENTION, List.of(section));
    offset = 100;
    apply(fold, named(2));
    assertTrue(section.replicasNamed().isEmpty());
    apply(fold, new SnapshotCompleted(new Epoch(2), 90));
    apply(fold, new PartitionOpened(new Epoch(2), SECOND));
    apply(fold, new SnapshotCompleted(new Epoch(2), 90));
    assertFalse(fold.complete());
    apply(fold, new SnapshotCompleted(new Epoch(2), 102));

    assertTrue(fold.complete());
  }

  @Test
  void rejectsOffsetsThatWereAlreadyApplied() {
    PartitionFold fold = new DefaultPartitionFold(0, RETENTION, List.of());
    apply(fold, new PartitionOpened(new Epoch(1), FIRST));
    offset = 0;

    assertThrows(
        IllegalArgumentException.class,
        () -> apply(fold, new PartitionOpened(new Epoch(1), FIRST)));
  }

  private void applyReplicaRecords(PartitionFold fold) {
    apply(fold, new PartitionOpened(new Epoch(1), FIRST));
    apply(fold, named(1));
    apply(fold, new PartitionOpened(new Epoch(2), SECOND));
    apply(fold, named(2));
    apply(fold, named(1));
  }

  private static ReplicasNamed named(long epoch) {
    InstanceId holder = epoch == 1 ? FIRST : SECOND;
    return new ReplicasNamed(new Epoch(epoch), holder, List.of(), 0, List.of(), Optional.empty());
  }

  private void apply(PartitionFold fold, RecordBody body) {
    RecordId id = new RecordId(FIRST, offset);
    fold.apply(new LogRecord(offset++, Instant.EPOCH.plusSeconds(offset), id, body));
  }
}

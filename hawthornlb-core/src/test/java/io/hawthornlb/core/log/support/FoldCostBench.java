package io.hawthornlb.core.log.support;

import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.catalogue.support.CatalogueFold;
import io.hawthornlb.core.catalogue.support.DefaultCatalogueChecker;
import io.hawthornlb.core.claim.ClaimRecord;
import io.hawthornlb.core.claim.RenewalRecord;
import io.hawthornlb.core.claim.support.ClaimFold;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Measures processor time for each record and memory for each entry of the folds, at three sizes
 * each.
 */
@Tag("bench")
class FoldCostBench {

  private static final int RECORDS = 2_000_000;
  private static final int COPIES = 20;

  @Test
  void renewals() {
    for (int writers : new int[] {13, 100, 390}) {
      foldRenewals(writers);
      long start = System.nanoTime();
      foldRenewals(writers);
      double perRecord = (System.nanoTime() - start) / (double) RECORDS;
      System.out.printf(
          Locale.ROOT, "| renewal, %d writers | %.0f ns a record |%n", writers, perRecord);
    }
  }

  private static void foldRenewals(int writers) {
    ClaimFold fold = new ClaimFold(256);
    List<InstanceId> ids = new ArrayList<>();
    for (int writer = 0; writer < writers; writer++) {
      ids.add(new InstanceId("n-" + writer));
    }
    RecordBody body = new RenewalRecord(new DataCentre("dc"), Duration.ofSeconds(1), false);
    for (int offset = 0; offset < RECORDS; offset++) {
      RecordId id = new RecordId(ids.get(offset % writers), offset / writers);
      fold.apply(new LogRecord(offset, Instant.EPOCH, id, body));
    }
  }

  @Test
  void claimMemory() {
    for (int partitions : new int[] {64, 256, 1_024}) {
      List<ClaimFold> folds = new ArrayList<>();
      long before = usedBytes();
      for (int copy = 0; copy < COPIES; copy++) {
        folds.add(claimed(partitions, 13));
      }
      double bytes = (usedBytes() - before) / (double) folds.size();
      System.out.printf(
          Locale.ROOT,
          "| claims, %d partitions | %.0f bytes in all, %.0f a partition |%n",
          partitions,
          bytes,
          bytes / partitions);
    }
    for (int writers : new int[] {13, 100, 390}) {
      List<ClaimFold> folds = new ArrayList<>();
      long before = usedBytes();
      for (int copy = 0; copy < COPIES; copy++) {
        folds.add(renewed(writers));
      }
      double bytes = (usedBytes() - before) / (double) folds.size();
      System.out.printf(
          Locale.ROOT,
          "| duplicate filter, %d writers | %.0f bytes in all, %.0f a writer |%n",
          writers,
          bytes,
          bytes / writers);
    }
  }

  private static ClaimFold claimed(int partitions, int writers) {
    ClaimFold fold = new ClaimFold(partitions);
    for (int partition = 0; partition < partitions; partition++) {
      InstanceId holder = new InstanceId("instance-" + partition % writers);
      List<InstanceId> witnesses = List.of(new InstanceId("w-1"), new InstanceId("w-2"));
      RecordBody body = new ClaimRecord(new PartitionId(partition), holder, Epoch.NONE, witnesses);
      RecordId id = new RecordId(holder, partition);
      fold.apply(new LogRecord(partition, Instant.EPOCH, id, body));
    }
    return fold;
  }

  private static ClaimFold renewed(int writers) {
    ClaimFold fold = new ClaimFold(1);
    RecordBody body = new RenewalRecord(new DataCentre("dc"), Duration.ofSeconds(1), false);
    for (int offset = 0; offset < writers * 100; offset++) {
      RecordId id = new RecordId(new InstanceId("n-" + offset % writers), offset / writers);
      fold.apply(new LogRecord(offset, Instant.EPOCH, id, body));
    }
    return fold;
  }

  @Test
  void catalogue() {
    for (int workspaces : new int[] {500, 5_000, 50_000}) {
      long before = usedBytes();
      CatalogueFold fold = new CatalogueFold(new DefaultCatalogueChecker());
      fold.apply(entry(0, -1, 0, workspaces));
      double bytes = usedBytes() - before;
      int edits = 200;
      edit(fold, edits);
      long start = System.nanoTime();
      edit(fold, edits);
      double micros = (System.nanoTime() - start) / 1_000.0 / edits;
      start = System.nanoTime();
      int parts = fold.snapshot().size();
      double snapshotMillis = (System.nanoTime() - start) / 1e6;
      System.out.printf(
          Locale.ROOT,
          "| catalogue, %d workspaces | %.0f bytes a workspace | %.0f us an edit of one | snapshot"
              + " %.1f ms in %d parts |%n",
          workspaces,
          bytes / workspaces,
          micros,
          snapshotMillis,
          parts);
    }
  }

  private static void edit(CatalogueFold fold, int edits) {
    for (int i = 0; i < edits; i++) {
      fold.apply(entry(fold.nextOffset(), fold.current().revision(), i, 1));
    }
  }

  private static LogRecord entry(long offset, long base, int first, int count) {
    CatalogueEdit.Builder edit = CatalogueEdit.builder("e-" + offset, base, "author");
    for (int number = first; number < first + count; number++) {
      String hash = String.format("%064x", number);
      edit.put(
          new WorkspaceEntry(
              new WorkspaceId("ws-" + number), "owner", List.of(hash), Limits.DEFAULT, 1));
    }
    RecordId id = new RecordId(new InstanceId("n"), offset);
    return new LogRecord(offset, Instant.EPOCH, id, edit.build());
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}

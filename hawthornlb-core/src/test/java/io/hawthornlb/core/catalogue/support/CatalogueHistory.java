package io.hawthornlb.core.catalogue.support;

import io.hawthornlb.core.catalogue.CatalogueEdit;
import io.hawthornlb.core.catalogue.CatalogueSnapshot;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Generates a random stream: operators make edits based on older revisions, records are resent, and
 * snapshots are appended late.
 */
final class CatalogueHistory {

  private static final int OPERATORS = 3;

  private final Random random;
  private final List<LogRecord> stream = new ArrayList<>();
  private final List<CatalogueFold> operatorFolds = new ArrayList<>();
  private final List<CatalogueSnapshot> pendingSnapshots = new ArrayList<>();
  private int sequence;

  CatalogueHistory(long seed, int steps) {
    this.random = new Random(seed);
    for (int operator = 0; operator < OPERATORS; operator++) {
      operatorFolds.add(fold());
    }
    for (int step = 0; step < steps; step++) {
      step(random.nextInt(OPERATORS));
    }
  }

  static CatalogueFold fold() {
    return new CatalogueFold(new DefaultCatalogueChecker());
  }

  static WorkspaceEntry workspace(int number, double weight, String... keyHashes) {
    WorkspaceId id = new WorkspaceId("ws-" + number);
    return new WorkspaceEntry(id, "owner", List.of(keyHashes), Limits.DEFAULT, weight);
  }

  List<LogRecord> stream() {
    return stream;
  }

  private void step(int operator) {
    CatalogueFold fold = operatorFolds.get(operator);
    if (random.nextBoolean()) {
      while (fold.nextOffset() < stream.size()) {
        fold.apply(stream.get((int) fold.nextOffset()));
      }
    }
    switch (random.nextInt(6)) {
      case 0 -> pendingSnapshots.addAll(pendingSnapshots.isEmpty() ? fold.snapshot() : List.of());
      case 1 -> {
        pendingSnapshots.forEach(this::append);
        pendingSnapshots.clear();
      }
      case 2 -> resend();
      default -> append(edit(operator, fold));
    }
  }

  private CatalogueEdit edit(int operator, CatalogueFold fold) {
    boolean isInvalid = random.nextInt(5) == 0;
    String[] keys = isInvalid ? new String[] {"no hash"} : new String[0];
    return CatalogueEdit.builder("e-" + sequence, fold.current().revision(), "op-" + operator)
        .put(workspace(random.nextInt(5), 1 + random.nextInt(50), keys))
        .build();
  }

  private void resend() {
    if (!stream.isEmpty()) {
      LogRecord entry = stream.get(random.nextInt(stream.size()));
      add(entry.id(), entry.body());
    }
  }

  private void append(RecordBody body) {
    add(new RecordId(new InstanceId("n"), sequence++), body);
  }

  private void add(RecordId id, RecordBody body) {
    stream.add(new LogRecord(stream.size(), Instant.EPOCH.plusSeconds(stream.size()), id, body));
  }
}

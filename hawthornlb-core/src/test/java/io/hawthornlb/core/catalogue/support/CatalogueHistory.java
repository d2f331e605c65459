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

/** Operators that edit what they saw some time ago, resends, and snapshots that come late. */
final class CatalogueHistory {

  private static final int OPERATORS = 3;

  private final Random random;
  private final List<LogRecord> stream = new ArrayList<>();
  private final List<CatalogueFold> seen = new ArrayList<>();
  private final List<CatalogueSnapshot> held = new ArrayList<>();
  private int sequence;

  CatalogueHistory(long seed, int steps) {
    this.random = new Random(seed);
    for (int operator = 0; operator < OPERATORS; operator++) {
      seen.add(fold());
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
    CatalogueFold fold = seen.get(operator);
    if (random.nextBoolean()) {
      while (fold.nextOffset() < stream.size()) {
        fold.apply(stream.get((int) fold.nextOffset()));
      }
    }
    switch (random.nextInt(6)) {
      case 0 -> held.addAll(held.isEmpty() ? fold.snapshot() : List.of());
      case 1 -> {
        held.forEach(this::append);
        held.clear();
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

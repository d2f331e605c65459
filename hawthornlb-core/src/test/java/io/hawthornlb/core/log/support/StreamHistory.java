package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Random history of a stream as the platform may produce it: lost answers with resends, appends
 * that take effect late, and snapshots of writers that were paused between creating and appending a
 * snapshot.
 */
final class StreamHistory {

  private static final int WRITERS = 5;
  private static final int REGISTERS = 6;
  private static final int MAX_OVERTAKEN = 20;

  private final Random random;
  private final List<LogRecord> stream = new ArrayList<>();
  private final List<LogRecord> late = new ArrayList<>();
  private final List<RegisterSnapshot> heldSnapshot = new ArrayList<>();
  private final long[] sequences = new long[WRITERS];

  /** Fold of the stream so far, which creates the snapshots. */
  private final RegisterFold snapshotFold = new RegisterFold();

  StreamHistory(long seed, int steps) {
    this.random = new Random(seed);
    for (int step = 0; step < steps; step++) {
      step();
    }
    writeSnapshot(snapshotFold.snapshot());
  }

  List<LogRecord> stream() {
    return stream;
  }

  private void step() {
    switch (random.nextInt(10)) {
      case 0 -> heldSnapshot.addAll(heldSnapshot.isEmpty() ? snapshotFold.snapshot() : List.of());
      case 1 -> {
        writeSnapshot(List.copyOf(heldSnapshot));
        heldSnapshot.clear();
      }
      case 2 -> appendLate();
      default -> appendPut();
    }
  }

  private void appendPut() {
    int register = random.nextInt(REGISTERS);
    RegisterState known = snapshotFold.registers().getOrDefault(register, RegisterState.ZERO);
    long expected = random.nextBoolean() ? -1 : known.version();
    int writer = random.nextInt(WRITERS);
    LogRecord entry = append(id(writer), new RegisterPut(register, expected, random.nextInt(100)));
    if (random.nextInt(4) == 0) {
      append(entry.id(), entry.body());
    }
    if (random.nextInt(8) == 0) {
      late.add(entry);
    }
  }

  private void appendLate() {
    if (!late.isEmpty()) {
      LogRecord entry = late.remove(random.nextInt(late.size()));
      long overtaken = sequences[writerOf(entry)] - entry.id().sequence();
      if (overtaken <= MAX_OVERTAKEN || random.nextBoolean()) {
        append(entry.id(), entry.body());
      }
    }
  }

  private void writeSnapshot(List<RegisterSnapshot> parts) {
    int writer = random.nextInt(WRITERS);
    parts.forEach(part -> append(id(writer), part));
  }

  private LogRecord append(RecordId id, RecordBody body) {
    LogRecord entry =
        new LogRecord(stream.size(), Instant.EPOCH.plusSeconds(stream.size()), id, body);
    stream.add(entry);
    snapshotFold.apply(entry);
    return entry;
  }

  private RecordId id(int writer) {
    return new RecordId(new InstanceId("n-" + writer), sequences[writer]++);
  }

  private static int writerOf(LogRecord entry) {
    return Integer.parseInt(entry.id().writer().value().substring(2));
  }
}

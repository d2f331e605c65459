package io.hawthornlb.core.job.support;

import io.hawthornlb.core.job.ItemOutcome;
import io.hawthornlb.core.job.ItemOutcomes;
import io.hawthornlb.core.job.JobChunk;
import io.hawthornlb.core.job.JobOutcomeGroup;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.model.JobId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps records that a reader of a truncated stream reads before the snapshot of their job.
 *
 * <p>A snapshot covers the stream up to an offset below its own. If the reader dropped the records
 * between that offset and the snapshot, the reader would miss outcomes that every other reader has.
 * So the records are kept here, without item bodies and results, and are applied on top of the
 * snapshot. The number of kept records is bounded by the number of records that are appended during
 * two rounds of snapshots.
 */
final class RecordsAwaitingSnapshot {

  private final Map<JobId, List<LogRecord>> waiting = new HashMap<>();
  private boolean open;

  RecordsAwaitingSnapshot(boolean open) {
    this.open = open;
  }

  boolean open() {
    return open;
  }

  void add(JobId job, LogRecord entry) {
    if (open) {
      waiting.computeIfAbsent(job, key -> new ArrayList<>()).add(withoutBodies(entry));
    }
  }

  List<LogRecord> take(JobId job, long asOf) {
    List<LogRecord> entries = waiting.remove(job);
    if (entries == null) {
      return List.of();
    }
    return entries.stream().filter(entry -> entry.offset() > asOf).toList();
  }

  void close() {
    open = false;
    waiting.clear();
  }

  private static LogRecord withoutBodies(LogRecord entry) {
    if (entry.body() instanceof ItemOutcomes outcomes) {
      List<JobOutcomeGroup> groups =
          outcomes.groups().stream().map(RecordsAwaitingSnapshot::withoutResults).toList();
      ItemOutcomes small = new ItemOutcomes(outcomes.epoch(), groups, outcomes.refreshOf());
      return new LogRecord(entry.offset(), entry.appendedAt(), entry.id(), small);
    }
    if (entry.body() instanceof JobChunk chunk) {
      JobChunk small =
          new JobChunk(
              chunk.job(),
              chunk.submission(),
              chunk.index(),
              chunk.service(),
              chunk.items().subList(0, 1),
              chunk.refreshOf());
      return new LogRecord(entry.offset(), entry.appendedAt(), entry.id(), small);
    }
    return entry;
  }

  private static JobOutcomeGroup withoutResults(JobOutcomeGroup group) {
    List<ItemOutcome> outcomes =
        group.outcomes().stream()
            .map(end -> new ItemOutcome(end.index(), "", end.status(), "", ""))
            .toList();
    return new JobOutcomeGroup(group.job(), outcomes, group.attempts());
  }
}

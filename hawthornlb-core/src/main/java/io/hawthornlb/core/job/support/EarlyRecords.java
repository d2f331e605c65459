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
 * Records that a reader of a truncated stream meets before the snapshot of their job.
 *
 * <p>A snapshot covers an offset below its own. Were the records in between dropped, such a reader
 * would miss outcomes that every other reader has. They wait here without their results, and are
 * applied on top of the snapshot. Their number is bounded by what is appended during two rounds of
 * snapshots.
 */
final class EarlyRecords {

  private final Map<JobId, List<LogRecord>> waiting = new HashMap<>();
  private boolean open;

  EarlyRecords(boolean open) {
    this.open = open;
  }

  boolean open() {
    return open;
  }

  void keep(JobId job, LogRecord entry) {
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
          outcomes.groups().stream().map(EarlyRecords::withoutResults).toList();
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

package io.hawthornlb.core.job;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.partition.PartitionOpened;
import io.hawthornlb.core.partition.PartitionRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Naive reference implementation of the job fold, which replays every record and keeps every
 * outcome in memory.
 */
final class NaiveJobs {

  private final Map<JobId, JobHeader> accepted = new LinkedHashMap<>();
  private final Map<JobId, Map<Integer, ItemOutcome>> outcomes = new HashMap<>();
  private final Set<JobId> cancelled = new HashSet<>();
  private final List<LogRecord> before = new ArrayList<>();
  private final boolean lastOutcomeCounts;

  private NaiveJobs(boolean lastOutcomeCounts) {
    this.lastOutcomeCounts = lastOutcomeCounts;
  }

  static NaiveJobs replay(List<LogRecord> records) {
    return replayAll(records, false);
  }

  /**
   * Replays without the first-outcome rule: a later outcome replaces an earlier one, also after a
   * cancellation.
   */
  static NaiveJobs replayWithoutGuard(List<LogRecord> records) {
    return replayAll(records, true);
  }

  Set<JobId> jobs() {
    return accepted.keySet();
  }

  Map<Integer, ItemOutcome> outcomes(JobId job) {
    return outcomes.get(job);
  }

  JobPhase phase(JobId job) {
    if (cancelled.contains(job)) {
      return JobPhase.CANCELLED;
    }
    boolean ended = outcomes.get(job).size() == accepted.get(job).items();
    return ended ? JobPhase.ENDED : JobPhase.RUNNING;
  }

  private static NaiveJobs replayAll(List<LogRecord> records, boolean lastOutcomeCounts) {
    NaiveJobs jobs = new NaiveJobs(lastOutcomeCounts);
    Epoch epoch = Epoch.NONE;
    for (LogRecord entry : records) {
      if (entry.body() instanceof PartitionOpened opened) {
        epoch = opened.epoch().compareTo(epoch) > 0 ? opened.epoch() : epoch;
      }
      boolean valid =
          !(entry.body() instanceof PartitionRecord written) || written.epoch().equals(epoch);
      if (valid) {
        jobs.apply(entry);
      }
      jobs.before.add(entry);
    }
    return jobs;
  }

  private void apply(LogRecord entry) {
    if (entry.body() instanceof JobAccepted acceptance) {
      accept(acceptance.header());
    } else if (entry.body() instanceof ItemOutcomes ended && ended.refreshOf().isEmpty()) {
      ended.groups().forEach(this::end);
    } else if (entry.body() instanceof JobCancelled cancel
        && accepted.containsKey(cancel.job())
        && phase(cancel.job()) == JobPhase.RUNNING) {
      cancelled.add(cancel.job());
    }
  }

  private void accept(JobHeader header) {
    Map<Integer, Integer> chunks = new HashMap<>();
    for (LogRecord entry : before) {
      if (entry.body() instanceof JobChunk chunk
          && chunk.refreshOf().isEmpty()
          && chunk.job().equals(header.id())
          && chunk.submission().equals(header.submission())) {
        chunks.putIfAbsent(chunk.index(), chunk.items().size());
      }
    }
    boolean whole =
        chunks.size() == header.chunks()
            && chunks.keySet().stream().allMatch(index -> index < header.chunks())
            && chunks.values().stream().mapToInt(Integer::intValue).sum() == header.items();
    if (whole && !accepted.containsKey(header.id())) {
      accepted.put(header.id(), header);
      outcomes.put(header.id(), new HashMap<>());
    }
  }

  private void end(JobOutcomeGroup group) {
    JobHeader header = accepted.get(group.job());
    if (header == null || !lastOutcomeCounts && cancelled.contains(group.job())) {
      return;
    }
    Map<Integer, ItemOutcome> own = outcomes.get(group.job());
    for (ItemOutcome outcome : group.outcomes()) {
      if (lastOutcomeCounts) {
        own.put(outcome.index(), outcome);
      } else if (outcome.index() < header.items()) {
        own.putIfAbsent(outcome.index(), outcome);
      }
    }
  }
}

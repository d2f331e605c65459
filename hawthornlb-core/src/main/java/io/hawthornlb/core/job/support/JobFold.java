package io.hawthornlb.core.job.support;

import io.hawthornlb.core.job.ChunkLocation;
import io.hawthornlb.core.job.ItemLocation;
import io.hawthornlb.core.job.ItemOutcomes;
import io.hawthornlb.core.job.ItemsStarted;
import io.hawthornlb.core.job.JobAccepted;
import io.hawthornlb.core.job.JobCancelled;
import io.hawthornlb.core.job.JobChunk;
import io.hawthornlb.core.job.JobDirectory;
import io.hawthornlb.core.job.JobHeader;
import io.hawthornlb.core.job.JobOutcomeGroup;
import io.hawthornlb.core.job.JobSnapshot;
import io.hawthornlb.core.job.JobStatus;
import io.hawthornlb.core.job.ResultPage;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.partition.PartitionOpened;
import io.hawthornlb.core.partition.PartitionSection;
import io.hawthornlb.core.partition.SnapshotCompleted;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * State of the jobs of a partition, built from the records of its stream.
 *
 * <p>The bodies of items and results stay in the log. Memory holds two bits for each item, and the
 * offsets of item and result records.
 */
public final class JobFold implements PartitionSection, JobDirectory {

  private static final Duration EXPIRY_INTERVAL = Duration.ofMinutes(1);

  private final Map<JobId, JobState> jobs = new LinkedHashMap<>();
  private final PendingUploads uploads = new PendingUploads();
  private final RecordsAwaitingSnapshot awaitingSnapshot;
  private Instant expiredAt = Instant.EPOCH;
  private long firstOpenedAt = -1;

  /**
   * Creates a state without jobs.
   *
   * @param wholeStream whether the fold starts with the first record of the stream; if not, records
   *     of unknown jobs are kept until the snapshots of these jobs arrive
   */
  public JobFold(boolean wholeStream) {
    this.awaitingSnapshot = new RecordsAwaitingSnapshot(!wholeStream);
  }

  @Override
  public void apply(LogRecord entry) {
    expire(entry.appendedAt());
    if (entry.body() instanceof JobChunk chunk) {
      store(chunk, entry);
    } else if (entry.body() instanceof JobAccepted accepted) {
      accept(accepted.header());
    } else if (entry.body() instanceof ItemOutcomes outcomes) {
      endItems(outcomes, entry);
    } else if (entry.body() instanceof ItemsStarted items) {
      update(items.job(), entry);
    } else if (entry.body() instanceof JobCancelled cancelled) {
      update(cancelled.job(), entry);
    } else if (entry.body() instanceof JobSnapshot snapshot) {
      adopt(snapshot, entry.offset());
    } else if (entry.body() instanceof PartitionOpened) {
      firstOpenedAt = firstOpenedAt < 0 ? entry.offset() : firstOpenedAt;
    } else if (entry.body() instanceof SnapshotCompleted end && end.openedAt() >= firstOpenedAt) {
      awaitingSnapshot.close();
    }
  }

  @Override
  public Optional<JobStatus> status(JobId job) {
    return Optional.ofNullable(jobs.get(job)).map(JobState::status);
  }

  @Override
  public Collection<JobId> jobs() {
    return List.copyOf(jobs.keySet());
  }

  @Override
  public ResultPage results(JobId job, int cursor, int maxSpans) {
    Checks.notNegative(cursor, "cursor");
    Checks.isTrue(maxSpans > 0, "max spans must be positive");
    JobState state = jobs.get(job);
    return state == null
        ? new ResultPage(List.of(), Optional.empty())
        : state.results(cursor, maxSpans);
  }

  @Override
  public Optional<ItemLocation> locate(JobId job, int index) {
    JobState state = jobs.get(job);
    boolean exists = state != null && index >= 0 && index < state.header().items();
    return exists ? Optional.of(state.locate(index)) : Optional.empty();
  }

  /** Returns whether the stream contains every chunk of a submission. */
  boolean uploaded(JobHeader header) {
    return !uploads.chunks(header).isEmpty();
  }

  @Nullable JobState state(JobId job) {
    return jobs.get(job);
  }

  Collection<JobState> states() {
    return jobs.values();
  }

  private void store(JobChunk chunk, LogRecord entry) {
    if (chunk.refreshOf().isEmpty()) {
      uploads.add(chunk, entry.offset(), entry.appendedAt());
    } else {
      update(chunk.job(), entry);
    }
  }

  private void accept(JobHeader header) {
    List<ChunkLocation> chunks = uploads.chunks(header);
    if (!chunks.isEmpty() && !jobs.containsKey(header.id())) {
      uploads.remove(header);
      jobs.put(header.id(), new JobState(header, chunks));
    }
  }

  private void endItems(ItemOutcomes outcomes, LogRecord entry) {
    for (int i = 0; i < outcomes.groups().size(); i++) {
      JobOutcomeGroup group = outcomes.groups().get(i);
      JobState state = jobs.get(group.job());
      if (state == null) {
        awaitingSnapshot.add(group.job(), entry);
      } else {
        endItems(state, outcomes, i, entry);
      }
    }
  }

  private void endItems(JobState state, ItemOutcomes outcomes, int groupIndex, LogRecord entry) {
    if (outcomes.refreshOf().isPresent()) {
      state.moveResults(outcomes.refreshOf().get(), groupIndex, entry.offset());
    } else {
      state.apply(
          outcomes.groups().get(groupIndex), entry.offset(), groupIndex, entry.appendedAt());
    }
  }

  private void update(JobId job, LogRecord entry) {
    JobState state = jobs.get(job);
    if (state == null) {
      awaitingSnapshot.add(job, entry);
    } else if (entry.body() instanceof ItemsStarted items) {
      state.start(items.items());
    } else if (entry.body() instanceof JobCancelled) {
      state.cancel(entry.appendedAt());
    } else if (entry.body() instanceof JobChunk chunk) {
      chunk.refreshOf().ifPresent(from -> state.moveChunk(from, entry.offset()));
    }
  }

  private void adopt(JobSnapshot snapshot, long offset) {
    JobId job = snapshot.header().id();
    JobState known = jobs.get(job);
    if (known != null) {
      known.snapshotFolded(offset);
    }
    if (known != null || !awaitingSnapshot.open()) {
      return;
    }
    JobState adopted = new JobState(snapshot);
    adopted.snapshotFolded(offset);
    jobs.put(job, adopted);
    for (LogRecord entry : awaitingSnapshot.take(job, snapshot.asOf())) {
      replay(job, entry);
    }
  }

  private void replay(JobId job, LogRecord entry) {
    if (entry.body() instanceof ItemOutcomes outcomes) {
      for (int i = 0; i < outcomes.groups().size(); i++) {
        if (outcomes.groups().get(i).job().equals(job)) {
          endItems(jobs.get(job), outcomes, i, entry);
        }
      }
    } else {
      update(job, entry);
    }
  }

  private void expire(Instant appendedAt) {
    if (appendedAt.isBefore(expiredAt.plus(EXPIRY_INTERVAL))) {
      return;
    }
    expiredAt = appendedAt;
    jobs.values().removeIf(state -> state.expired(appendedAt));
  }
}

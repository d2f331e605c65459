package io.hawthornlb.core.job.support;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.job.ItemOutcomes;
import io.hawthornlb.core.job.JobChunk;
import io.hawthornlb.core.job.JobSettings;
import io.hawthornlb.core.job.RefreshRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.partition.PartitionFold;
import io.hawthornlb.core.partition.SnapshotCompleted;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the state of jobs readable for longer than the platform keeps the records of the log.
 *
 * <p>When the opening record of the partition is repeated, a round of snapshots begins: the state
 * of each job is appended as a snapshot. Records with items and results that are still needed are
 * appended again when their age reaches half of the log retention.
 */
final class JobMaintenance {

  private static final int SNAPSHOTS_PER_TICK = 4;
  private static final int MAX_REFRESHES = 8;
  private static final Duration SCAN_INTERVAL = Duration.ofSeconds(5);
  private static final Duration REFRESH_TIMEOUT = Duration.ofSeconds(30);

  private final StreamName stream;
  private final PartitionFold partition;
  private final JobFold jobs;
  private final RecordIdSource ids;
  private final Duration refreshAge;
  private final Deque<JobId> snapshotsToWrite = new ArrayDeque<>();
  private final Set<JobId> snapshotsToConfirm = new HashSet<>();
  private final Map<Long, Instant> refreshing = new HashMap<>();
  private long roundOpenedAt = -1;
  private boolean inRound;
  private Instant scannedAt = Instant.MIN;

  JobMaintenance(
      PartitionId id,
      PartitionFold partition,
      JobFold jobs,
      JobSettings settings,
      RecordIdSource ids) {
    this.stream = StreamName.ofPartition(id);
    this.partition = partition;
    this.jobs = jobs;
    this.ids = ids;
    this.refreshAge = settings.logRetention().dividedBy(2);
  }

  /**
   * Starts maintenance when this instance becomes the holder. The opening record that starts the
   * epoch does not begin a round; only its repetitions do.
   */
  void begin() {
    snapshotsToWrite.clear();
    snapshotsToConfirm.clear();
    refreshing.clear();
    inRound = false;
    roundOpenedAt = partition.openedAt();
  }

  void tick(Epoch epoch, Instant now, List<Effect> out) {
    if (partition.openedAt() != roundOpenedAt) {
      roundOpenedAt = partition.openedAt();
      inRound = true;
      snapshotsToWrite.clear();
      snapshotsToConfirm.clear();
      snapshotsToWrite.addAll(jobs.jobs());
    }
    continueRound(epoch, out);
    scan(now, out);
  }

  /** Appends a record again after it was read back from the log. */
  void readBack(LogRecord entry, Epoch epoch, List<Effect> out) {
    if (refreshing.containsKey(entry.offset())) {
      refreshed(entry.body(), epoch, entry.offset())
          .ifPresent(body -> out.add(new AppendRecord(stream, ids.next(), body)));
    }
  }

  private void continueRound(Epoch epoch, List<Effect> out) {
    for (int i = 0; i < SNAPSHOTS_PER_TICK && !snapshotsToWrite.isEmpty(); i++) {
      JobState state = jobs.state(snapshotsToWrite.removeFirst());
      if (state != null) {
        snapshotsToConfirm.add(state.header().id());
        RecordBody snapshot = state.snapshot(epoch, partition.nextOffset() - 1);
        out.add(new AppendRecord(stream, ids.next(), snapshot));
      }
    }
    // The record that ends the round promises that all snapshots of the round precede it. When the
    // answer to an append is lost, appends of one writer may change order, and a reader would
    // consider its state complete without the late snapshots. So the round ends only after all its
    // snapshots were folded.
    snapshotsToConfirm.removeIf(this::snapshotFolded);
    if (inRound && snapshotsToWrite.isEmpty() && snapshotsToConfirm.isEmpty()) {
      inRound = false;
      out.add(new AppendRecord(stream, ids.next(), new SnapshotCompleted(epoch, roundOpenedAt)));
    }
  }

  private boolean snapshotFolded(JobId job) {
    JobState state = jobs.state(job);
    return state == null || state.snapshotAt() > roundOpenedAt;
  }

  private void scan(Instant now, List<Effect> out) {
    if (now.isBefore(scannedAt.plus(SCAN_INTERVAL)) && scannedAt != Instant.MIN) {
      return;
    }
    scannedAt = now;
    refreshing.values().removeIf(since -> since.plus(REFRESH_TIMEOUT).isBefore(now));
    long limit = partition.offsetAt(now.minus(refreshAge));
    for (JobState state : jobs.states()) {
      for (long offset : state.neededBelow(limit, MAX_REFRESHES)) {
        if (refreshing.size() < MAX_REFRESHES && refreshing.putIfAbsent(offset, now) == null) {
          out.add(new RefreshRecord(stream, offset));
        }
      }
    }
  }

  private static Optional<RecordBody> refreshed(RecordBody body, Epoch epoch, long offset) {
    if (body instanceof ItemOutcomes outcomes) {
      return Optional.of(new ItemOutcomes(epoch, outcomes.groups(), Optional.of(offset)));
    }
    if (body instanceof JobChunk chunk) {
      return Optional.of(
          new JobChunk(
              chunk.job(),
              chunk.submission(),
              chunk.index(),
              chunk.service(),
              chunk.items(),
              Optional.of(offset)));
    }
    return Optional.empty();
  }
}

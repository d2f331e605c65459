package io.hawthornlb.core.job.support;

import io.hawthornlb.core.chart.ChartInstance;
import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.NoAction;
import io.hawthornlb.core.chart.StateChart;
import io.hawthornlb.core.chart.support.ChartResources;
import io.hawthornlb.core.job.ChunkLocation;
import io.hawthornlb.core.job.ItemAttempts;
import io.hawthornlb.core.job.ItemLocation;
import io.hawthornlb.core.job.ItemOutcome;
import io.hawthornlb.core.job.ItemStatus;
import io.hawthornlb.core.job.JobHeader;
import io.hawthornlb.core.job.JobOutcomeGroup;
import io.hawthornlb.core.job.JobPhase;
import io.hawthornlb.core.job.JobSnapshot;
import io.hawthornlb.core.job.JobStatus;
import io.hawthornlb.core.job.ResultPage;
import io.hawthornlb.core.job.ResultSpan;
import io.hawthornlb.core.model.Epoch;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * State of one job: two bits for each item, and the offsets of the chunks and results of the job.
 */
final class JobState {

  private static final StateChart<JobPhase, JobStep, NoAction> CHART =
      ChartResources.load(JobState.class, "job.yaml", ChartTypes.of(JobPhase.class, JobStep.class));

  private final JobHeader header;
  private final List<ChunkLocation> chunks;
  private final BitSet ended;
  private final BitSet failed;
  private final BitSet started;
  private final ResultIndex results = new ResultIndex();
  private final Map<Integer, Integer> attempts = new HashMap<>(0);
  private int endedCount;
  private int failedCount;
  private JobPhase phase = CHART.initial();
  private long snapshotAt = -1;
  private @Nullable Instant endedAt;

  JobState(JobHeader header, List<ChunkLocation> chunks) {
    this.header = header;
    this.chunks = new ArrayList<>(chunks);
    this.ended = new BitSet(header.items());
    this.failed = new BitSet();
    this.started = new BitSet();
  }

  JobState(JobSnapshot snapshot) {
    this.header = snapshot.header();
    this.chunks = new ArrayList<>(snapshot.chunks());
    this.ended = BitSet.valueOf(snapshot.ended());
    this.failed = BitSet.valueOf(snapshot.failed());
    this.started = BitSet.valueOf(snapshot.started());
    this.endedCount = ended.cardinality();
    this.failedCount = failed.cardinality();
    this.endedAt = snapshot.endedAt().orElse(null);
    if (endedAt != null) {
      this.phase = snapshot.cancelled() ? JobPhase.CANCELLED : JobPhase.ENDED;
    }
    snapshot.results().forEach(results::add);
    snapshot.attempts().forEach(count -> attempts.put(count.index(), count.attempts()));
  }

  void apply(JobOutcomeGroup group, long offset, int groupIndex, Instant appendedAt) {
    if (endedAt != null) {
      return;
    }
    List<Integer> voidPositions = new ArrayList<>(0);
    for (int i = 0; i < group.outcomes().size(); i++) {
      if (!end(group.outcomes().get(i))) {
        voidPositions.add(i);
      }
    }
    if (voidPositions.size() < group.outcomes().size()) {
      results.add(new ResultSpan(offset, groupIndex, voidPositions));
    }
    group.attempts().forEach(this::countAttempts);
    if (endedCount == header.items()) {
      move(JobStep.LAST_ITEM_ENDED, appendedAt);
    }
  }

  void start(List<Integer> items) {
    items.stream().filter(this::open).forEach(started::set);
  }

  void cancel(Instant appendedAt) {
    move(JobStep.CANCELLED, appendedAt);
  }

  private void move(JobStep step, Instant appendedAt) {
    ChartInstance<JobPhase, JobStep, NoAction> job = new ChartInstance<>(CHART, phase);
    job.fire(step);
    if (job.state() != phase) {
      phase = job.state();
      endedAt = appendedAt;
      attempts.clear();
    }
  }

  void moveResults(long from, int group, long to) {
    results.move(from, group, to);
  }

  void moveChunk(long from, long to) {
    chunks.replaceAll(chunk -> chunk.offset() == from ? chunk.at(to) : chunk);
  }

  void snapshotFolded(long offset) {
    snapshotAt = offset;
  }

  /** Returns the offset of the last snapshot of this job, or -1. */
  long snapshotAt() {
    return snapshotAt;
  }

  JobHeader header() {
    return header;
  }

  List<ChunkLocation> chunks() {
    return chunks;
  }

  /** Returns whether the item exists and has no outcome, and its job is running. */
  boolean open(int index) {
    return endedAt == null && index >= 0 && index < header.items() && !ended.get(index);
  }

  boolean running() {
    return endedAt == null;
  }

  boolean cancelled() {
    return phase == JobPhase.CANCELLED;
  }

  boolean started(int index) {
    return started.get(index);
  }

  int attempts(int index) {
    return attempts.getOrDefault(index, 0);
  }

  int openItems() {
    return header.items() - endedCount;
  }

  BitSet endedItems() {
    return (BitSet) ended.clone();
  }

  boolean expired(Instant now) {
    return endedAt != null && endedAt.plus(header.resultRetention()).isBefore(now);
  }

  ResultPage results(int cursor, int maxSpans) {
    return results.page(cursor, maxSpans);
  }

  /** Returns the offsets below a limit whose records are still needed, up to a maximum number. */
  Set<Long> neededBelow(long limit, int max) {
    Stream<Long> chunkOffsets =
        running() ? chunks.stream().map(ChunkLocation::offset) : Stream.of();
    return Stream.concat(chunkOffsets, results.offsets().boxed())
        .filter(offset -> offset < limit)
        .limit(max)
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  ItemLocation locate(int index) {
    int low = 0;
    int high = chunks.size() - 1;
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      if (chunks.get(middle).firstItem() <= index) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    ChunkLocation chunk = chunks.get(low);
    return new ItemLocation(index, chunk.offset(), index - chunk.firstItem());
  }

  JobStatus status() {
    Optional<Instant> end = Optional.ofNullable(endedAt);
    Optional<Instant> readableUntil = end.map(at -> at.plus(header.resultRetention()));
    int completed = endedCount - failedCount;
    return new JobStatus(header, phase, completed, failedCount, end, readableUntil);
  }

  JobSnapshot snapshot(Epoch epoch, long asOf) {
    List<ItemAttempts> counts = new ArrayList<>();
    attempts.forEach((index, count) -> counts.add(new ItemAttempts(index, count)));
    return new JobSnapshot(
        epoch,
        asOf,
        header,
        chunks,
        ended.toByteArray(),
        failed.toByteArray(),
        started.toByteArray(),
        results.all(),
        counts,
        Optional.ofNullable(endedAt),
        cancelled());
  }

  private boolean end(ItemOutcome outcome) {
    int index = outcome.index();
    if (index >= header.items() || ended.get(index)) {
      return false;
    }
    ended.set(index);
    endedCount++;
    if (outcome.status() == ItemStatus.FAILED) {
      failed.set(index);
      failedCount++;
    }
    attempts.remove(index);
    return true;
  }

  private void countAttempts(ItemAttempts count) {
    if (open(count.index())) {
      attempts.merge(count.index(), count.attempts(), Math::max);
    }
  }
}

package io.hawthornlb.core.job.support;

import io.hawthornlb.core.job.ItemAttempts;
import io.hawthornlb.core.job.ItemKey;
import io.hawthornlb.core.job.ItemOutcome;
import io.hawthornlb.core.job.ItemOutcomes;
import io.hawthornlb.core.job.JobOutcomeGroup;
import io.hawthornlb.core.job.JobSettings;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Buffers outcomes of all jobs, so that one record carries many of them. The buffer is flushed by
 * the number, size or age of its outcomes.
 */
final class OutcomeBuffer {

  private static final int OVERHEAD_BYTES = 64;

  private final JobSettings settings;
  private final Map<JobId, JobOutcomes> buffered = new LinkedHashMap<>();
  private final Deque<FlushedRecord> unconfirmed = new ArrayDeque<>();
  private List<Report> reports = new ArrayList<>();
  private int count;
  private int bytes;
  private int unconfirmedBytes;
  private @Nullable Instant oldestAt;

  OutcomeBuffer(JobSettings settings) {
    this.settings = settings;
  }

  void clear() {
    reset();
    reports.clear();
    unconfirmed.clear();
    unconfirmedBytes = 0;
  }

  /** Adds an outcome, and the dispatcher that reported it if there is one. */
  void add(JobId job, ItemOutcome outcome, @Nullable InstanceId dispatcher, Instant now) {
    buffered(job).outcomes().add(outcome);
    if (dispatcher != null) {
      reports.add(new Report(dispatcher, new ItemKey(job, outcome.index())));
    }
    grow(OVERHEAD_BYTES + outcome.result().length() + outcome.cause().length(), now);
  }

  void add(JobId job, ItemAttempts attempts, Instant now) {
    buffered(job).attempts().put(attempts.index(), attempts);
    grow(OVERHEAD_BYTES, now);
  }

  /**
   * Returns whether so many bytes of results wait for the log that no further item may be
   * dispatched.
   */
  boolean full() {
    return bytes + unconfirmedBytes >= settings.maxBufferedBytes();
  }

  boolean hasOutcomes() {
    return count > 0;
  }

  boolean empty() {
    return count == 0 && unconfirmed.isEmpty();
  }

  boolean due(Instant now) {
    if (oldestAt == null) {
      return false;
    }
    boolean old = !oldestAt.plus(settings.groupDelay()).isAfter(now);
    return old || count >= settings.groupItems() || bytes >= settings.groupBytes();
  }

  /** Empties the buffer and returns its outcomes as one record. */
  ItemOutcomes flush(Epoch epoch) {
    List<JobOutcomeGroup> groups = new ArrayList<>();
    buffered.forEach((job, own) -> groups.add(own.group(job)));
    unconfirmed.addLast(new FlushedRecord(bytes, firstItem(groups), reports));
    unconfirmedBytes += bytes;
    reports = new ArrayList<>();
    reset();
    return new ItemOutcomes(epoch, groups, Optional.empty());
  }

  /** Applies progress of the fold, and returns the reports that have become durable. */
  List<Report> advance(JobFold fold) {
    List<Report> durable = new ArrayList<>();
    unconfirmed.removeIf(
        flushed -> {
          boolean folded = flushed.firstItem().map(item -> ended(fold, item)).orElse(true);
          if (folded) {
            unconfirmedBytes -= flushed.bytes();
            durable.addAll(flushed.reports());
          }
          return folded;
        });
    return durable;
  }

  /** Returns whether a flushed record has been folded. */
  static boolean folded(ItemOutcomes outcomes, JobFold fold) {
    return firstItem(outcomes.groups()).map(item -> ended(fold, item)).orElse(true);
  }

  private static boolean ended(JobFold fold, ItemKey item) {
    JobState state = fold.state(item.job());
    return state == null || !state.open(item.index());
  }

  private static Optional<ItemKey> firstItem(List<JobOutcomeGroup> groups) {
    return groups.stream()
        .filter(group -> !group.outcomes().isEmpty())
        .map(group -> new ItemKey(group.job(), group.outcomes().get(0).index()))
        .findFirst();
  }

  private JobOutcomes buffered(JobId job) {
    return buffered.computeIfAbsent(
        job, key -> new JobOutcomes(new ArrayList<>(), new LinkedHashMap<>()));
  }

  private void grow(int added, Instant now) {
    count++;
    bytes += added;
    oldestAt = oldestAt == null ? now : oldestAt;
  }

  private void reset() {
    buffered.clear();
    count = 0;
    bytes = 0;
    oldestAt = null;
  }

  private record JobOutcomes(List<ItemOutcome> outcomes, Map<Integer, ItemAttempts> attempts) {

    JobOutcomeGroup group(JobId job) {
      return new JobOutcomeGroup(job, outcomes, List.copyOf(attempts.values()));
    }
  }

  private record FlushedRecord(int bytes, Optional<ItemKey> firstItem, List<Report> reports) {}

  /**
   * Report of a dispatcher about an item.
   *
   * @param dispatcher the dispatcher
   * @param item the item
   */
  record Report(InstanceId dispatcher, ItemKey item) {}
}

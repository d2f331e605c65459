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

/** Gathers outcomes of all jobs into few records, by number, size and age. */
final class OutcomeBuffer {

  private static final int OVERHEAD_BYTES = 64;

  private final JobSettings settings;
  private final Map<JobId, Gathered> gathered = new LinkedHashMap<>();
  private final Deque<Sent> unseen = new ArrayDeque<>();
  private List<Report> reports = new ArrayList<>();
  private int count;
  private int bytes;
  private int unseenBytes;
  private @Nullable Instant oldestAt;

  OutcomeBuffer(JobSettings settings) {
    this.settings = settings;
  }

  void clear() {
    reset();
    reports.clear();
    unseen.clear();
    unseenBytes = 0;
  }

  /** Adds an outcome and the steward that reported it, if one did. */
  void add(JobId job, ItemOutcome outcome, @Nullable InstanceId steward, Instant now) {
    gathered(job).outcomes().add(outcome);
    if (steward != null) {
      reports.add(new Report(steward, new ItemKey(job, outcome.index())));
    }
    grow(OVERHEAD_BYTES + outcome.result().length() + outcome.cause().length(), now);
  }

  void add(JobId job, ItemAttempts attempts, Instant now) {
    gathered(job).attempts().put(attempts.index(), attempts);
    grow(OVERHEAD_BYTES, now);
  }

  /** Returns whether results wait for the log in such a number that no item may be given out. */
  boolean full() {
    return bytes + unseenBytes >= settings.maxBufferedBytes();
  }

  boolean waits() {
    return count > 0;
  }

  boolean empty() {
    return count == 0 && unseen.isEmpty();
  }

  boolean due(Instant now) {
    if (oldestAt == null) {
      return false;
    }
    boolean old = !oldestAt.plus(settings.groupDelay()).isAfter(now);
    return old || count >= settings.groupItems() || bytes >= settings.groupBytes();
  }

  /** Empties the buffer into one record. */
  ItemOutcomes flush(Epoch epoch) {
    List<JobOutcomeGroup> groups = new ArrayList<>();
    gathered.forEach((job, own) -> groups.add(own.group(job)));
    unseen.addLast(new Sent(bytes, probe(groups), reports));
    unseenBytes += bytes;
    reports = new ArrayList<>();
    reset();
    return new ItemOutcomes(epoch, groups, Optional.empty());
  }

  /** Takes notice of what has been folded; returns the reports that are durable now. */
  List<Report> advance(JobFold fold) {
    List<Report> durable = new ArrayList<>();
    unseen.removeIf(
        sent -> {
          boolean seen = sent.probe().map(item -> ended(fold, item)).orElse(true);
          if (seen) {
            unseenBytes -= sent.bytes();
            durable.addAll(sent.reports());
          }
          return seen;
        });
    return durable;
  }

  /** Returns whether a flushed record has been folded. */
  static boolean seen(ItemOutcomes outcomes, JobFold fold) {
    return probe(outcomes.groups()).map(item -> ended(fold, item)).orElse(true);
  }

  private static boolean ended(JobFold fold, ItemKey item) {
    JobState state = fold.state(item.job());
    return state == null || !state.open(item.index());
  }

  private static Optional<ItemKey> probe(List<JobOutcomeGroup> groups) {
    return groups.stream()
        .filter(group -> !group.outcomes().isEmpty())
        .map(group -> new ItemKey(group.job(), group.outcomes().get(0).index()))
        .findFirst();
  }

  private Gathered gathered(JobId job) {
    return gathered.computeIfAbsent(
        job, key -> new Gathered(new ArrayList<>(), new LinkedHashMap<>()));
  }

  private void grow(int added, Instant now) {
    count++;
    bytes += added;
    oldestAt = oldestAt == null ? now : oldestAt;
  }

  private void reset() {
    gathered.clear();
    count = 0;
    bytes = 0;
    oldestAt = null;
  }

  private record Gathered(List<ItemOutcome> outcomes, Map<Integer, ItemAttempts> attempts) {

    JobOutcomeGroup group(JobId job) {
      return new JobOutcomeGroup(job, outcomes, List.copyOf(attempts.values()));
    }
  }

  private record Sent(int bytes, Optional<ItemKey> probe, List<Report> reports) {}

  /**
   * A steward's report of an item.
   *
   * @param steward the steward
   * @param item the item
   */
  record Report(InstanceId steward, ItemKey item) {}
}

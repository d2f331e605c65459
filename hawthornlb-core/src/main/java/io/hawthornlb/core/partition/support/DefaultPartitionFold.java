package io.hawthornlb.core.partition.support;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.PartitionFold;
import io.hawthornlb.core.partition.PartitionOpened;
import io.hawthornlb.core.partition.PartitionRecord;
import io.hawthornlb.core.partition.PartitionSection;
import io.hawthornlb.core.partition.SnapshotCompleted;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The {@link PartitionFold} in production use.
 *
 * <p>The fold does not filter duplicates by record id, because applying any record of this stream a
 * second time changes nothing.
 */
public final class DefaultPartitionFold implements PartitionFold {

  private final List<PartitionSection> sections;
  private final OffsetTimes times;
  private long nextOffset;
  private @Nullable PartitionOpened opened;
  private long openedAt = -1;
  private long firstOpenedAt = -1;
  private boolean complete;
  private @Nullable Instant lastRoundAt;

  /**
   * Creates the fold of the stream of one partition.
   *
   * @param firstOffset the first offset that the platform still keeps; zero for a complete stream
   * @param logRetention how long the platform keeps the records of the log
   * @param sections the parts of the state that receive the valid records
   */
  public DefaultPartitionFold(
      long firstOffset, Duration logRetention, List<PartitionSection> sections) {
    Checks.notNegative(firstOffset, "first offset");
    this.nextOffset = firstOffset;
    this.complete = firstOffset == 0;
    this.times = new OffsetTimes(logRetention);
    this.sections = List.copyOf(sections);
  }

  @Override
  public void apply(LogRecord entry) {
    Checks.isTrue(
        entry.offset() >= nextOffset, "offset " + entry.offset() + " was already applied");
    nextOffset = entry.offset() + 1;
    times.record(entry.offset(), entry.appendedAt());
    if (lastRoundAt == null) {
      lastRoundAt = entry.appendedAt();
    }
    if (valid(entry)) {
      sections.forEach(section -> section.apply(entry));
    }
  }

  @Override
  public long nextOffset() {
    return nextOffset;
  }

  @Override
  public Optional<PartitionOpened> opened() {
    return Optional.ofNullable(opened);
  }

  @Override
  public long openedAt() {
    return openedAt;
  }

  @Override
  public boolean complete() {
    return complete;
  }

  @Override
  public Optional<Instant> lastRoundAt() {
    return Optional.ofNullable(lastRoundAt);
  }

  @Override
  public long offsetAt(Instant time) {
    return times.offsetAt(time);
  }

  private boolean valid(LogRecord entry) {
    if (entry.body() instanceof PartitionOpened opening) {
      return open(opening, entry.offset());
    }
    if (entry.body() instanceof PartitionRecord written) {
      // A holder that was paused beyond the end of its claim may resume and write. Its records
      // would undo decisions of its successor. They carry the old epoch and follow the successor's
      // opening record, so they are void.
      boolean current = opened != null && written.epoch().equals(opened.epoch());
      if (current && written instanceof SnapshotCompleted end) {
        endRound(end, entry.appendedAt());
      }
      return current;
    }
    return true;
  }

  private boolean open(PartitionOpened opening, long offset) {
    Epoch current = opened == null ? Epoch.NONE : opened.epoch();
    boolean repeated = opening.equals(opened);
    if (!repeated && opening.epoch().compareTo(current) <= 0) {
      return false;
    }
    opened = opening;
    openedAt = offset;
    if (firstOpenedAt < 0) {
      firstOpenedAt = offset;
    }
    return true;
  }

  private void endRound(SnapshotCompleted end, Instant appendedAt) {
    if (firstOpenedAt <= end.openedAt()) {
      complete = true;
      lastRoundAt = appendedAt;
    }
  }
}

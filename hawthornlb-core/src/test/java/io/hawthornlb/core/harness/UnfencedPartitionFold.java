package io.hawthornlb.core.harness;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.partition.PartitionFold;
import io.hawthornlb.core.partition.PartitionOpened;
import io.hawthornlb.core.partition.PartitionSection;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** Partition fold without fencing: the last opening record applies, and every record is valid. */
public final class UnfencedPartitionFold implements PartitionFold {

  private final List<PartitionSection> sections;
  private long nextOffset;
  private Optional<PartitionOpened> opened = Optional.empty();

  public UnfencedPartitionFold(List<PartitionSection> sections) {
    this.sections = sections;
  }

  @Override
  public void apply(LogRecord entry) {
    nextOffset = entry.offset() + 1;
    if (entry.body() instanceof PartitionOpened opening) {
      opened = Optional.of(opening);
    }
    sections.forEach(section -> section.apply(entry));
  }

  @Override
  public long nextOffset() {
    return nextOffset;
  }

  @Override
  public Optional<PartitionOpened> opened() {
    return opened;
  }

  @Override
  public long openedAt() {
    return 0;
  }

  @Override
  public boolean complete() {
    return true;
  }

  @Override
  public Optional<Instant> lastRoundAt() {
    return Optional.empty();
  }

  @Override
  public long offsetAt(Instant time) {
    return 0;
  }
}

package io.hawthornlb.app.partition;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.SnapshotFold;
import io.hawthornlb.core.partition.PartitionFold;

/**
 * Lets a follower feed the fold of a partition.
 *
 * <p>A fold that fell behind what the platform retains cannot go on, since records are missing. Its
 * owner hears of it and begins anew with a fold that waits for a round of snapshots.
 */
final class RestartableFold implements SnapshotFold {

  private final PartitionFold fold;
  private final Runnable onGap;

  RestartableFold(PartitionFold fold, Runnable onGap) {
    this.fold = fold;
    this.onGap = onGap;
  }

  @Override
  public void apply(LogRecord entry) {
    if (entry.offset() >= fold.nextOffset()) {
      fold.apply(entry);
    }
  }

  @Override
  public long nextOffset() {
    return fold.nextOffset();
  }

  @Override
  public long stateOffset() {
    return fold.nextOffset();
  }

  @Override
  public void restartAt(long firstOffset) {
    onGap.run();
  }

  @Override
  public boolean complete() {
    return fold.complete();
  }
}

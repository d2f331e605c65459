package io.hawthornlb.app.partition;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.SnapshotFold;
import io.hawthornlb.core.partition.PartitionFold;

/**
 * Adapts the fold of a partition to a stream follower.
 *
 * <p>A fold that fell behind the records that the platform retains cannot continue, since records
 * are missing. In that case the adapter runs {@code onGap}; the owner then starts over with a new
 * fold, which waits for a round of snapshots.
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

package io.hawthornlb.core.job;

import io.hawthornlb.core.model.ServiceName;

/**
 * Where a chunk of items stands in the log.
 *
 * @param offset the offset of the {@link JobChunk} record
 * @param firstItem the index of its first item in the job
 * @param items the number of its items
 * @param service the service that runs them
 */
public record ChunkLocation(long offset, int firstItem, int items, ServiceName service) {

  /** Returns the index after the last item. */
  public int endItem() {
    return firstItem + items;
  }

  /** Returns the same chunk at another offset. */
  public ChunkLocation at(long newOffset) {
    return new ChunkLocation(newOffset, firstItem, items, service);
  }
}

package io.hawthornlb.core.job;

import io.hawthornlb.core.model.ServiceName;

/**
 * Position of a chunk of items in the log and in its job.
 *
 * @param offset the offset of the {@link JobChunk} record
 * @param firstItem the index, in the job, of the first item of the chunk
 * @param items the number of items in the chunk
 * @param service the service that runs the items
 */
public record ChunkLocation(long offset, int firstItem, int items, ServiceName service) {

  /** Returns the index, in the job, after the last item of the chunk. */
  public int endItem() {
    return firstItem + items;
  }

  /** Returns this location with another offset, for a chunk that was appended again. */
  public ChunkLocation at(long newOffset) {
    return new ChunkLocation(newOffset, firstItem, items, service);
  }
}

package io.hawthornlb.core.job;

/**
 * Position of an item in the log.
 *
 * @param index the index of the item in its job
 * @param chunkOffset the offset of the {@link JobChunk} record that contains the item
 * @param position the index of the item in the chunk
 */
public record ItemLocation(int index, long chunkOffset, int position) {}

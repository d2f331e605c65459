package io.hawthornlb.core.job;

/**
 * Where an item stands in the log.
 *
 * @param index the item
 * @param chunkOffset the offset of the {@link JobChunk} record that holds it
 * @param position its place in the chunk
 */
public record ItemLocation(int index, long chunkOffset, int position) {}

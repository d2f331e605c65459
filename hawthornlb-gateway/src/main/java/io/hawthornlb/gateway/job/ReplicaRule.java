package io.hawthornlb.gateway.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether this process reads a partition itself or forwards calls to the partition's
 * holder. Performs no I/O.
 *
 * <p>Callers read each job at any instance, twice a second. A text that the holder sends crosses
 * the links between data centres, which is expensive, once for each instance that is asked; a text
 * that the store delivers does not. Therefore all instances read a small log themselves. But each
 * instance that starts reads the log from the beginning, and a large fleet that starts all at once
 * would keep the store busy for a minute. Therefore instances do not read a large log that they do
 * not hold.
 */
final class ReplicaRule {

  /**
   * Maximum number of bytes that all instances together may load of one partition: the 80 MB that
   * the store delivers to all readers in a second, divided among 12 partitions.
   */
  private static final long MAX_LOADED_BYTES = 80_000_000 / 12;

  private final Map<Integer, Long> bytes = new HashMap<>();

  /** Records the size of a partition, as read by its holder or by this process. */
  void recordSize(int partition, long size) {
    bytes.put(partition, size);
  }

  /**
   * Returns whether this process reads a partition itself; false while the partition's size is
   * unknown.
   *
   * @param instances number of processes of the fleet
   */
  boolean readsLocally(int partition, int instances) {
    Long size = bytes.get(partition);
    return size != null && size * instances <= MAX_LOADED_BYTES;
  }
}

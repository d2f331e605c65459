package io.hawthornlb.gateway.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether this process reads a partition itself or has its holder answer. No I/O.
 *
 * <p>Load pattern: callers read each job at any instance, twice a second. A text that the holder
 * sends goes between data centres, which is dear, once for each instance that is asked; one that
 * the store hands out does not. So a small log is read by all instances. But each instance that
 * starts reads it from the beginning, and a large fleet that starts at once would keep the store
 * busy for a minute.
 */
final class ReplicaRule {

  /**
   * Bytes of a partition that all instances together may have to load: what the store gives to all
   * readers in a second, 80 MB, shared by 12 partitions.
   */
  private static final long MAX_LOADED_BYTES = 80_000_000 / 12;

  private final Map<Integer, Long> bytes = new HashMap<>();

  /** Takes the size of a partition, as its holder or this process has read it. */
  void told(int partition, long size) {
    bytes.put(partition, size);
  }

  /**
   * Returns whether this process reads a partition itself; not before its size is known.
   *
   * @param instances number of processes of the fleet
   */
  boolean readsHere(int partition, int instances) {
    Long size = bytes.get(partition);
    return size != null && size * instances <= MAX_LOADED_BYTES;
  }
}

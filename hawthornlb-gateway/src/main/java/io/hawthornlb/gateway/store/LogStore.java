package io.hawthornlb.gateway.store;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/**
 * Append-only log that keeps what must last; topics have partitions with offsets from 0.
 *
 * <p>Stages fail with {@link StoreException}, whose kind says whether an append may have happened.
 */
public interface LogStore {

  /** Appends records, all or none. */
  CompletionStage<Appended> append(AppendCall call);

  /**
   * Reads records from an offset; waits for the first one.
   *
   * @param wait time after which an empty page comes back
   */
  CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait);

  /**
   * Reads the newest record of each key of a keyed topic.
   *
   * @param after key after which to go on; null for the first page
   */
  CompletionStage<KeyedPage> newest(String topic, int partition, @Nullable String after);

  /** Joins a group, or stays in it. */
  CompletionStage<GroupShare> join(GroupJoin join);

  /** Leaves a group, so that others take its partitions over at once. */
  CompletionStage<Void> leave(String group, String member);

  /** Tells which members of a group hold which partitions of a topic. */
  CompletionStage<Map<Integer, String>> owners(String group, String topic);

  /**
   * A record of a keyed topic.
   *
   * @param key key; a later record replaces an earlier one of the same key
   * @param value content; null when the key was dropped
   */
  record KeyedRecord(String key, byte @Nullable [] value) {}

  /**
   * Records to append to a partition.
   *
   * @param topic name of a keyed topic
   * @param partition partition of the topic
   * @param records records in their order
   * @param writer fences former writers of the partition; null for an append by anyone
   */
  record AppendCall(
      String topic, int partition, List<KeyedRecord> records, @Nullable FencedWriter writer) {}

  /**
   * Identity under which a holder writes.
   *
   * @param name name that all holders of the partition share
   * @param epoch a holder with a lower one is refused
   * @param sequence number of this append, one higher than the last
   */
  record FencedWriter(String name, long epoch, long sequence) {}

  /**
   * An append that was carried out.
   *
   * @param offset offset of its first record
   * @param end offset after the partition's last record
   */
  record Appended(long offset, long end) {}

  /**
   * Part of a partition.
   *
   * @param records records in their order
   * @param next offset to go on from
   * @param more whether the partition held further records from there on when the page was read
   * @param trimmed whether records from the asked offset on are gone
   */
  record LogPage(List<KeyedRecord> records, long next, boolean more, boolean trimmed) {}

  /**
   * Newest records of some keys.
   *
   * @param records newest record of each key
   * @param more whether further keys follow
   * @param end offset after the partition's last record
   */
  record KeyedPage(List<KeyedRecord> records, boolean more, long end) {}

  /**
   * Membership in a group.
   *
   * @param group name of the group
   * @param member name of this member
   * @param topic topic whose partitions the members share
   * @param lease time after which a silent member loses its partitions
   * @param generation last generation that this member was told; 0 at first
   */
  record GroupJoin(String group, String member, String topic, Duration lease, long generation) {}

  /**
   * What a member of a group holds.
   *
   * @param generation number of this distribution
   * @param partitions partitions of this member
   */
  record GroupShare(long generation, List<Integer> partitions) {}
}

package io.hawthornlb.gateway.store;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/**
 * Append-only log for durable data. Topics have partitions with offsets from 0.
 *
 * <p>Stages fail with {@link StoreException}, whose kind tells whether an append may have been
 * carried out.
 */
public interface LogStore {

  /** Appends either all records or none. */
  CompletionStage<Appended> append(AppendCall call);

  /**
   * Reads records from an offset. If there are none, waits for the first one.
   *
   * @param wait time after which an empty page is returned
   */
  CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait);

  /**
   * Reads the newest record of each key of a keyed topic.
   *
   * @param after key after which the page begins; null for the first page
   */
  CompletionStage<KeyedPage> newest(String topic, int partition, @Nullable String after);

  /** Joins a group, or renews the membership. */
  CompletionStage<GroupShare> join(GroupJoin join);

  /** Leaves a group, so that other members take its partitions over immediately. */
  CompletionStage<Void> leave(String group, String member);

  /** Returns the member of a group that holds each partition of a topic. */
  CompletionStage<Map<Integer, String>> owners(String group, String topic);

  /**
   * A record of a keyed topic.
   *
   * @param key key; a later record replaces an earlier one with the same key
   * @param value content; null if the key is deleted
   */
  record KeyedRecord(String key, byte @Nullable [] value) {}

  /**
   * Records to append to a partition.
   *
   * @param topic name of a keyed topic
   * @param partition partition of the topic
   * @param records records in their order
   * @param writer identity that fences former writers of the partition; null for an append that is
   *     not fenced
   * @param at offset at which the partition must end for the append to be carried out; empty if it
   *     may end anywhere
   */
  record AppendCall(
      String topic,
      int partition,
      List<KeyedRecord> records,
      @Nullable FencedWriter writer,
      OptionalLong at) {

    /** Creates an append that is carried out wherever the partition ends. */
    public AppendCall(
        String topic, int partition, List<KeyedRecord> records, @Nullable FencedWriter writer) {
      this(topic, partition, records, writer, OptionalLong.empty());
    }
  }

  /**
   * Identity under which a holder writes.
   *
   * @param name name that all holders of the partition share
   * @param epoch epoch of the holder; a holder with a lower epoch is refused
   * @param sequence number of this append, one higher than that of the last
   */
  record FencedWriter(String name, long epoch, long sequence) {}

  /**
   * Result of an append that was carried out.
   *
   * @param offset offset of its first record
   * @param end offset after the partition's last record
   */
  record Appended(long offset, long end) {}

  /**
   * A page of consecutive records of a partition.
   *
   * @param records records in their order
   * @param next offset at which the next page begins
   * @param more whether the partition had further records from there on when the page was read
   * @param trimmed whether records at the requested offset are gone
   */
  record LogPage(List<KeyedRecord> records, long next, boolean more, boolean trimmed) {}

  /**
   * A page of the newest records of some keys.
   *
   * @param records newest record of each key
   * @param more whether further keys follow
   * @param end offset after the partition's last record
   */
  record KeyedPage(List<KeyedRecord> records, boolean more, long end) {}

  /**
   * Request to join a group.
   *
   * @param group name of the group
   * @param member name of this member
   * @param topic topic whose partitions the members share
   * @param lease time after which a silent member loses its partitions
   * @param generation last generation that this member knows; 0 at first
   */
  record GroupJoin(String group, String member, String topic, Duration lease, long generation) {}

  /**
   * Partitions of a member of a group.
   *
   * @param generation number of this assignment
   * @param partitions partitions of this member
   */
  record GroupShare(long generation, List<Integer> partitions) {}
}

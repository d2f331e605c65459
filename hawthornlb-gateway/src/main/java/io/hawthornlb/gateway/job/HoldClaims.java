package io.hawthornlb.gateway.job;

import io.hawthornlb.core.util.Checks;
import io.hawthornlb.gateway.decode.MessageReader;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.decode.UnreadableRecords;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.Appended;
import io.hawthornlb.gateway.store.LogStore.KeyedPage;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.StoreException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Claims of the partitions' holders, in a topic of their own with a partition for each partition of
 * the jobs.
 *
 * <p>A claim is appended only behind the claim that its epoch was derived from. Therefore epochs
 * increase along the log, no two claims have the same one, and this depends on no clock and on no
 * memory of a process.
 */
final class HoldClaims {

  /** Keyed topic of the claims; programs that do not claim never read it. */
  static final String TOPIC = "keyed.holders";

  /** Only key of a partition. */
  private static final String KEY = "holder";

  /** Version of the record's encoding. */
  private static final int FORMAT = 1;

  private final LogStore store;
  private final UnreadableRecords unreadable;

  HoldClaims(JobParts parts) {
    this.store = parts.store();
    this.unreadable =
        new UnreadableRecords(parts.log(), parts.clock(), "job", "claim.unreadable", "key");
  }

  /**
   * What a read of the claims of a partition has found.
   *
   * @param claim newest claim; null if there is none or if it is unreadable
   * @param end offset after the last record
   */
  record Newest(@Nullable HoldClaim claim, long end) {

    /**
     * Returns whether no other record can be between the claim and the end. The store does not
     * promise that the records of a page and its end belong to the same moment.
     */
    boolean consistent() {
      return claim == null ? end == 0 : claim.offset() + 1 == end;
    }

    /** Returns the epoch of the claim; -1 if there is none. */
    long epoch() {
      return claim == null ? -1 : claim.epoch();
    }
  }

  /** Reads the newest claim of a partition. */
  CompletionStage<Newest> newest(int partition) {
    return store.newest(TOPIC, partition, null).thenApply(page -> parse(page, partition));
  }

  /**
   * Appends a claim at its offset. Fails with {@link StoreException.Kind#NOT_AT_END} if the claims
   * of the partition no longer end there.
   */
  CompletionStage<Appended> append(int partition, HoldClaim claim) {
    KeyedRecord record = new KeyedRecord(KEY, encode(claim));
    return store.append(
        new AppendCall(TOPIC, partition, List.of(record), null, OptionalLong.of(claim.offset())));
  }

  private Newest parse(KeyedPage page, int partition) {
    HoldClaim claim = null;
    for (KeyedRecord record : page.records()) {
      byte[] value = record.value();
      if (record.key().equals(KEY) && value != null) {
        try {
          claim = decode(value);
        } catch (UnreadableException e) {
          unreadable.report(TOPIC + "/" + partition, e);
        }
      }
    }
    return new Newest(claim, page.end());
  }

  private static byte[] encode(HoldClaim claim) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(FORMAT).packString(claim.holder());
      packer.packLong(claim.epoch()).packLong(claim.generation()).packLong(claim.offset());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("writing to an in-memory buffer failed", e);
    }
  }

  private static HoldClaim decode(byte[] value) {
    return MessageReader.read(
        "claim",
        value,
        reader -> {
          if (reader.number() != FORMAT) {
            throw new UnreadableException("format", "unknown");
          }
          String holder = Checks.hasText(reader.text(), "holder");
          long epoch = reader.number("epoch", 0L, EpochSearch.MAX_EPOCH);
          long generation = reader.number("generation", 0L, Long.MAX_VALUE);
          long offset = reader.number("offset", 0L, Long.MAX_VALUE);
          return new HoldClaim(epoch, generation, holder, offset);
        });
  }
}

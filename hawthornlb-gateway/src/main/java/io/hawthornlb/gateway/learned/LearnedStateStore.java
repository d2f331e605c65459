package io.hawthornlb.gateway.learned;

import io.hawthornlb.core.learned.LearnedStateCandidate;
import io.hawthornlb.core.util.Checks;
import io.hawthornlb.gateway.decode.MessageReader;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.decode.UnreadableRecords;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedPage;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.StoreException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Snapshots in the platform's store, which survive the loss of all instances.
 *
 * <p>Appends are not fenced: a coordinator that has been succeeded may overwrite the record of its
 * successor, which costs some seconds of learning and no correctness. Nothing is retried, because
 * the next scheduled write replaces a lost one.
 */
public final class LearnedStateStore {

  /** Keyed topic of the snapshots; the key is the name of the service. */
  public static final String TOPIC = "keyed.learned";

  private static final int PARTITION = 0;

  /** Version of the record's encoding. */
  private static final int FORMAT = 1;

  private final LogStore store;
  private final Executor executor;
  private final EventLog log;
  private final UnreadableRecords ignored;
  private boolean readBefore;

  /** Creates an access that does all its work on the executor. */
  public LearnedStateStore(LogStore store, Executor executor, InstantSource clock, EventLog log) {
    this.store = store;
    this.executor = executor;
    this.log = log;
    this.ignored = new UnreadableRecords(log, clock, "slot", "learned.ignored", "record");
  }

  /** Writes the snapshot of a service; calls back only if that succeeded. */
  public void write(String service, LearnedStateCandidate learned, Runnable onWritten) {
    KeyedRecord record = new KeyedRecord(service, encode(learned));
    call(() -> store.append(new AppendCall(TOPIC, PARTITION, List.of(record), null)))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure == null) {
                onWritten.run();
              } else {
                logFailure("learned.write.failed", failure);
              }
            },
            executor);
  }

  /**
   * Reads the snapshots of all services by one call, the first time only.
   *
   * @param receiver receives each service with its snapshot
   * @param onRead called after the last snapshot
   */
  public void readOnce(BiConsumer<String, LearnedStateCandidate> receiver, Runnable onRead) {
    if (readBefore) {
      return;
    }
    readBefore = true;
    CompletionStage<KeyedPage> read = call(() -> store.newest(TOPIC, PARTITION, null));
    read.whenCompleteAsync(
        (page, failure) -> {
          if (failure == null) {
            page.records().forEach(record -> pass(record, receiver));
            onRead.run();
          } else {
            logFailure("learned.read.failed", failure);
          }
        },
        executor);
  }

  private void pass(KeyedRecord record, BiConsumer<String, LearnedStateCandidate> receiver) {
    byte[] value = record.value();
    if (value == null) {
      return;
    }
    LearnedStateCandidate learned;
    try {
      learned = decode(value);
    } catch (UnreadableException e) {
      ignored.report(record.key(), e);
      return;
    }
    receiver.accept(record.key(), learned);
  }

  private void logFailure(String event, Throwable failure) {
    log.routine("slot", event).with("cause", String.valueOf(failure.getMessage())).write();
  }

  private static <T> CompletionStage<T> call(Supplier<CompletionStage<T>> call) {
    try {
      return call.get();
    } catch (StoreException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static byte[] encode(LearnedStateCandidate learned) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(FORMAT).packString(learned.coordinator());
      packer.packLong(learned.state().version()).packLong(learned.learnedAt().toEpochMilli());
      byte[] state = LearnedStateCodec.encode(learned.state());
      packer.packBinaryHeader(state.length).writePayload(state);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("writing to an in-memory buffer failed", e);
    }
  }

  private static LearnedStateCandidate decode(byte[] value) {
    return MessageReader.read(
        "learned",
        value,
        reader -> {
          if (reader.number() != FORMAT) {
            throw new UnreadableException("format", "unknown");
          }
          String coordinator = Checks.hasText(reader.text(), "coordinator");
          long version = reader.number("version", 0L, Long.MAX_VALUE);
          Instant learnedAt = Instant.ofEpochMilli(reader.number("learnedAt", 0L, Long.MAX_VALUE));
          return new LearnedStateCandidate(
              coordinator, LearnedStateCodec.decode(version, reader.bytes()), learnedAt);
        });
  }
}

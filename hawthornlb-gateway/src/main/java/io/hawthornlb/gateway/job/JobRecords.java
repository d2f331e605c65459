package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Records of jobs in the log, by key.
 *
 * <p>A job that does not fit one record is written in parts; it counts once all are there.
 */
final class JobRecords {

  /** Bytes of a part of an accepted job; records of the log hold 256 KiB. */
  static final int PART_BYTES = 200 * 1024;

  private static final char SEPARATOR = '/';
  private static final String PART = "a";
  private static final String RESULT = "r";
  private static final String END = "e";
  private static final String PROGRESS = "p";
  private static final String FAILURES = "f";
  private static final String OFFER = "o";

  private JobRecords() {}

  /** What the key of a record says. */
  record Key(String kind, String jobId, int number) {

    boolean part() {
      return kind.equals(PART);
    }

    boolean result() {
      return kind.equals(RESULT);
    }

    boolean end() {
      return kind.equals(END);
    }

    boolean progress() {
      return kind.equals(PROGRESS);
    }

    boolean offer() {
      return kind.equals(OFFER);
    }

    boolean failures() {
      return kind.equals(FAILURES);
    }
  }

  /** Text that an item has gained: from the event after one, up to another. */
  record Gained(String itemId, long after, long upTo, String text) {}

  /** Number of runs of an item that an endpoint ended with a failure of its own. */
  record Failures(String itemId, int count) {}

  /** A part of an accepted job. */
  record Part(int count, byte[] bytes) {}

  static Key key(String text) {
    String[] fields = text.split(String.valueOf(SEPARATOR));
    boolean numbered = fields[0].equals(PART) || fields[0].equals(RESULT);
    int number = numbered ? Integer.parseInt(fields[2]) : 0;
    return new Key(fields[0], fields[1], number);
  }

  /** Returns whether a key is that of a record which the result of an item makes needless. */
  static boolean neededUntilResult(String key, String itemId) {
    String[] fields = key.split(String.valueOf(SEPARATOR));
    boolean ofUnfinished = fields[0].equals(PROGRESS) || fields[0].equals(OFFER);
    return ofUnfinished && fields[2].equals(itemId);
  }

  /** Returns a result without a position, for the holder of the partition to list. */
  static KeyedRecord offer(String jobId, JobResult result) {
    String key = String.join(String.valueOf(SEPARATOR), OFFER, jobId, result.itemId());
    return new KeyedRecord(key, packed(result));
  }

  static KeyedRecord end(String jobId) {
    return new KeyedRecord(END + SEPARATOR + jobId, new byte[] {1});
  }

  static KeyedRecord result(String jobId, int position, JobResult result) {
    return new KeyedRecord(RESULT + SEPARATOR + jobId + SEPARATOR + position, packed(result));
  }

  static JobResult result(byte[] value) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
      String itemId = unpacker.unpackString();
      boolean completed = unpacker.unpackBoolean();
      return new JobResult(itemId, completed, unpacker.unpackString());
    } catch (IOException e) {
      throw new UncheckedIOException("Not a result", e);
    }
  }

  static KeyedRecord gained(String jobId, Gained gained) {
    // Padded, so that the records of an item come in their order when they are listed by key.
    String place = String.format(Locale.ROOT, "%08d", gained.after() + 1);
    String key = String.join(String.valueOf(SEPARATOR), PROGRESS, jobId, gained.itemId(), place);
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(gained.itemId()).packLong(gained.after()).packLong(gained.upTo());
      packer.packString(gained.text());
      return new KeyedRecord(key, packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  static Gained gained(byte[] value) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
      String itemId = unpacker.unpackString();
      long after = unpacker.unpackLong();
      return new Gained(itemId, after, unpacker.unpackLong(), unpacker.unpackString());
    } catch (IOException e) {
      throw new UncheckedIOException("Not the progress of an item", e);
    }
  }

  static KeyedRecord failures(String jobId, Failures failures) {
    String key = String.join(String.valueOf(SEPARATOR), FAILURES, jobId, failures.itemId());
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(failures.itemId()).packInt(failures.count());
      return new KeyedRecord(key, packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  static Failures failures(byte[] value) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
      return new Failures(unpacker.unpackString(), unpacker.unpackInt());
    } catch (IOException e) {
      throw new UncheckedIOException("Not the failures of an item", e);
    }
  }

  static List<KeyedRecord> accepted(Job job) {
    byte[] bytes = encode(job);
    int count = Math.max(1, (bytes.length + PART_BYTES - 1) / PART_BYTES);
    List<KeyedRecord> records = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      int from = number * PART_BYTES;
      int length = Math.min(PART_BYTES, bytes.length - from);
      records.add(part(job.id(), number, count, bytes, from, length));
    }
    return records;
  }

  private static KeyedRecord part(
      String jobId, int number, int count, byte[] bytes, int from, int length) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(count);
      packer.packBinaryHeader(length);
      packer.writePayload(bytes, from, length);
      return new KeyedRecord(PART + SEPARATOR + jobId + SEPARATOR + number, packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  static Part part(byte[] value) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
      int count = unpacker.unpackInt();
      return new Part(count, unpacker.readPayload(unpacker.unpackBinaryHeader()));
    } catch (IOException e) {
      throw new UncheckedIOException("Not a part of a job", e);
    }
  }

  private static byte[] encode(Job job) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(job.host());
      packer.packLong(job.accepted().toEpochMilli());
      packer.packArrayHeader(job.items().size());
      for (JobItem item : job.items()) {
        packer.packString(item.id()).packString(item.path());
        packer.packMapHeader(item.headers().size());
        for (Map.Entry<String, String> header : item.headers().entrySet()) {
          packer.packString(header.getKey()).packString(header.getValue());
        }
        packer.packBinaryHeader(item.body().length).writePayload(item.body());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  static Job decode(String jobId, byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      String host = unpacker.unpackString();
      Instant accepted = Instant.ofEpochMilli(unpacker.unpackLong());
      int count = unpacker.unpackArrayHeader();
      List<JobItem> items = new ArrayList<>(count);
      for (int i = 0; i < count; i++) {
        items.add(item(unpacker));
      }
      return new Job(jobId, host, accepted, items);
    } catch (IOException e) {
      throw new UncheckedIOException("Not a job", e);
    }
  }

  private static JobItem item(MessageUnpacker unpacker) throws IOException {
    String id = unpacker.unpackString();
    String path = unpacker.unpackString();
    Map<String, String> headers = new HashMap<>();
    int count = unpacker.unpackMapHeader();
    for (int i = 0; i < count; i++) {
      headers.put(unpacker.unpackString(), unpacker.unpackString());
    }
    byte[] body = unpacker.readPayload(unpacker.unpackBinaryHeader());
    return new JobItem(id, path, headers, body);
  }

  private static byte[] packed(JobResult result) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(result.itemId());
      packer.packBoolean(result.completed());
      packer.packString(result.text());
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }
}

package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.decode.HttpText;
import io.hawthornlb.gateway.decode.MessageReader;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Records of jobs in the log, by key.
 *
 * <p>A job that does not fit one record is written in parts; it counts once all are there.
 */
final class JobRecords {

  /** Bytes of a part of an accepted job; records of the log hold 256 KiB. */
  static final int PART_BYTES = 200 * 1024;

  /** Digits to which the event in the key of what an item has gained is padded. */
  private static final int EVENT_DIGITS = 8;

  private static final char SEPARATOR = '/';
  private static final String PART = "a";
  private static final String RESULT = "r";
  private static final String END = "e";
  private static final String PROGRESS = "g";

  /** Progress as former versions wrote it: it does not say what it extends, so nothing joins it. */
  private static final String FORMER_PROGRESS = "p";

  private static final String FAILURES = "n";

  /** Counts as former versions wrote them: one key for those of all holders. */
  private static final String FORMER_FAILURES = "f";

  private static final String OFFER = "o";

  /** Fields of a key of each kind. */
  private static final Map<String, Integer> FIELDS =
      Map.ofEntries(
          Map.entry(PART, 3),
          Map.entry(RESULT, 3),
          Map.entry(END, 2),
          Map.entry(PROGRESS, 5),
          Map.entry(FORMER_PROGRESS, 4),
          Map.entry(FAILURES, 4),
          Map.entry(FORMER_FAILURES, 3),
          Map.entry(OFFER, 3));

  /** Longest id of a job or an item; keys of the log hold 255 bytes, with two ids and a place. */
  static final int MAX_ID = 100;

  /** Digits of a part's number or a result's position. */
  private static final int MAX_DIGITS = 6;

  /** Parts of a job at most; a call to the log holds 2 MiB, callers may send 4 MiB. */
  private static final int MAX_PARTS = 1_000;

  /** Failed runs of an item at most; it is given up after a few. */
  private static final int MAX_FAILURES = 10_000;

  /** Digits of an event's number or an epoch. */
  private static final int MAX_LONG_DIGITS = 18;

  /** Highest number of an event, and highest epoch. */
  private static final long MAX_LONG = 999_999_999_999_999_999L;

  private static final byte ENDED = 1;

  /** Latest time at which a job may have been accepted: the end of the year 9999. */
  private static final long MAX_MILLIS = 253_402_300_799_999L;

  private JobRecords() {}

  /**
   * What the key of a record says.
   *
   * @param itemId item that it is about; empty if it is about the job
   * @param number number of a part, or position of a result; 0 for all others
   * @param start place at which what an item has gained begins; the start of all for all others
   */
  record Key(String kind, String jobId, String itemId, int number, ProgressLink start) {

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
      return kind.equals(FAILURES) || kind.equals(FORMER_FAILURES);
    }
  }

  /**
   * Text that an item has gained.
   *
   * @param after place at which the text that it extends ends
   * @param upTo place at which it ends, with the epoch of its writer
   */
  record Gained(String itemId, ProgressLink after, ProgressLink upTo, String text) {

    /** Returns the place at which it begins, with the epoch of its writer. */
    ProgressLink start() {
      return new ProgressLink(after.eventId(), upTo.epoch());
    }
  }

  /** Number of runs of an item that an endpoint ended with a failure of its own. */
  record Failures(String itemId, int count) {}

  /** A part of an accepted job. */
  record Part(int count, byte[] bytes) {}

  /**
   * Returns what a key says.
   *
   * @throws UnreadableException if it is none of ours
   */
  static Key key(String text) {
    String[] fields = text.split(String.valueOf(SEPARATOR), -1);
    Integer expected = FIELDS.get(fields[0]);
    if (expected == null || fields.length != expected) {
      throw new UnreadableException("key", "not the key of a record of jobs");
    }
    String jobId = HttpText.id("key", fields[1], MAX_ID);
    boolean numbered = fields[0].equals(PART) || fields[0].equals(RESULT);
    int number = numbered ? (int) number(fields[2], MAX_DIGITS) : 0;
    boolean ofItem = !numbered && expected > 2;
    String itemId = ofItem ? HttpText.id("key", fields[2], MAX_ID) : "";
    if (fields[0].equals(FAILURES)) {
      number(fields[3], MAX_LONG_DIGITS);
    }
    ProgressLink start = fields[0].equals(PROGRESS) ? start(fields) : ProgressLink.START;
    return new Key(fields[0], jobId, itemId, number, start);
  }

  private static ProgressLink start(String[] fields) {
    long event = number(fields[3], MAX_LONG_DIGITS);
    long epoch = number(fields[4], MAX_LONG_DIGITS);
    if (!fields[3].equals(padded(event)) || !fields[4].equals(String.valueOf(epoch))) {
      throw new UnreadableException("key", "a number in another form");
    }
    return new ProgressLink(event - 1, epoch);
  }

  /** Returns the job that a key is about; empty if it is none of ours, which its reader tells. */
  static Optional<String> jobId(String key) {
    String[] fields = key.split(String.valueOf(SEPARATOR), -1);
    boolean ours = FIELDS.containsKey(fields[0]) && fields.length > 1;
    return ours ? Optional.of(fields[1]) : Optional.empty();
  }

  private static long number(String text, int mostDigits) {
    boolean digits = text.chars().allMatch(each -> each >= '0' && each <= '9');
    if (text.isEmpty() || !digits || text.length() > mostDigits) {
      throw new UnreadableException("key", "no number");
    }
    return Long.parseLong(text);
  }

  /** Returns whether a key is that of a record which the result of an item makes needless. */
  static boolean neededUntilResult(String key, String itemId) {
    String[] fields = key.split(String.valueOf(SEPARATOR));
    boolean ofUnfinished = List.of(PROGRESS, FORMER_PROGRESS, OFFER).contains(fields[0]);
    return ofUnfinished && fields.length > 2 && fields[2].equals(itemId);
  }

  /** Returns a result without a position, for the holder of the partition to list. */
  static KeyedRecord offer(String jobId, JobResult result) {
    String key = String.join(String.valueOf(SEPARATOR), OFFER, jobId, result.itemId());
    return new KeyedRecord(key, packed(result));
  }

  static KeyedRecord end(String jobId) {
    return new KeyedRecord(END + SEPARATOR + jobId, new byte[] {ENDED});
  }

  static String resultKey(String jobId, int position) {
    return RESULT + SEPARATOR + jobId + SEPARATOR + position;
  }

  static KeyedRecord result(String jobId, int position, JobResult result) {
    return new KeyedRecord(resultKey(jobId, position), packed(result));
  }

  static JobResult result(byte[] value) {
    return MessageReader.read(
        "result",
        value,
        reader -> {
          String itemId = reader.text();
          boolean completed = reader.flag();
          return new JobResult(itemId, completed, reader.text());
        });
  }

  /** Checks that a value says that a job has ended. */
  static void checkEnd(byte[] value) {
    if (value.length != 1 || value[0] != ENDED) {
      throw new UnreadableException("end", "not the end of a job");
    }
  }

  /** Checks that a value is about the item that its key names. */
  static void checkItem(Key key, String itemId) {
    if (!key.itemId().equals(itemId)) {
      throw new UnreadableException("item", "another one than in the key");
    }
  }

  /** Checks that a value is about the item, and begins at the place, that its key names. */
  static void checkStart(Key key, Gained gained) {
    checkItem(key, gained.itemId());
    if (!key.start().equals(gained.start())) {
      throw new UnreadableException("progress", "of another place than in the key");
    }
  }

  static KeyedRecord gained(String jobId, Gained gained) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(gained.itemId());
      packer.packLong(gained.after().eventId()).packLong(gained.after().epoch());
      packer.packLong(gained.upTo().eventId()).packLong(gained.upTo().epoch());
      packer.packString(gained.text());
      return new KeyedRecord(gainedKey(jobId, gained), packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  static Gained gained(byte[] value) {
    return MessageReader.read(
        "progress",
        value,
        reader -> {
          String itemId = reader.text();
          ProgressLink after = after(reader);
          long upTo = reader.number("upTo", after.eventId() + 1, MAX_LONG - 1);
          long epoch = reader.number("epoch", 0L, MAX_LONG);
          return new Gained(itemId, after, new ProgressLink(upTo, epoch), reader.text());
        });
  }

  private static String gainedKey(String jobId, Gained gained) {
    // Padded, so that the records of an item come in their order when they are listed by key.
    String place = padded(gained.start().eventId() + 1);
    String epoch = String.valueOf(gained.start().epoch());
    return String.join(String.valueOf(SEPARATOR), PROGRESS, jobId, gained.itemId(), place, epoch);
  }

  private static String padded(long event) {
    String number = String.valueOf(event);
    return "0".repeat(Math.max(0, EVENT_DIGITS - number.length())) + number;
  }

  private static ProgressLink after(MessageReader reader) throws IOException {
    long event = reader.number("after", -1L, MAX_LONG - 1);
    long epoch = reader.number("extended epoch", -1L, MAX_LONG);
    if (event < 0 != epoch < 0) {
      throw new UnreadableException("after", "an event of no holder, or the reverse");
    }
    return new ProgressLink(event, epoch);
  }

  /** Returns a record that replaces no other holder's, since a late one may hold a lower count. */
  static KeyedRecord failures(String jobId, Failures failures, long epoch) {
    String holder = String.valueOf(epoch);
    String key = String.join(String.valueOf(SEPARATOR), FAILURES, jobId, failures.itemId(), holder);
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(failures.itemId()).packInt(failures.count());
      return new KeyedRecord(key, packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  static Failures failures(byte[] value) {
    return MessageReader.read(
        "failures",
        value,
        reader -> new Failures(reader.text(), reader.number("count", 0, MAX_FAILURES)));
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
    return MessageReader.read(
        "part", value, reader -> new Part(reader.number("count", 1, MAX_PARTS), reader.bytes()));
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
    return MessageReader.read(
        "job",
        bytes,
        reader -> {
          String host = HttpText.headerValue("host", reader.text());
          Instant accepted = Instant.ofEpochMilli(reader.number("accepted", 0L, MAX_MILLIS));
          int count = reader.listSize();
          List<JobItem> items = new ArrayList<>();
          for (int i = 0; i < count; i++) {
            items.add(item(reader));
          }
          return new Job(jobId, host, accepted, JobItem.checked(items));
        });
  }

  private static JobItem item(MessageReader reader) throws IOException {
    String id = reader.text();
    String path = reader.text();
    Map<String, String> headers = new HashMap<>();
    int count = reader.mapSize();
    for (int i = 0; i < count; i++) {
      headers.put(reader.text(), reader.text());
    }
    return new JobItem(id, path, headers, reader.bytes());
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

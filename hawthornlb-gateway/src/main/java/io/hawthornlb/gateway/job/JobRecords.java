package io.hawthornlb.gateway.job;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.gateway.decode.HttpText;
import io.hawthornlb.gateway.decode.MessageReader;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.stream.StreamOrigin;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Keys and values of the records that store jobs in the log.
 *
 * <p>An accepted job that does not fit one record is written in parts. The job counts as accepted
 * once all parts are there.
 */
final class JobRecords {

  /** Maximum bytes of one part of an accepted job; a record of the log holds 256 KiB. */
  static final int PART_BYTES = 200 * 1024;

  /** Number of digits to which the event number in the key of a progress record is padded. */
  private static final int EVENT_DIGITS = 8;

  private static final char SEPARATOR = '/';
  private static final String PART = "a";
  private static final String RESULT = "r";
  private static final String END = "e";

  /** Key kind of progress records, each of which names the version that wrote its text. */
  private static final String PROGRESS = "v";

  /**
   * Key kinds of progress records of former versions of this program. Such a record does not name
   * the record that it extends, or the version that wrote its text, so it is never continued. A
   * former version passes over the records of this one.
   */
  private static final String UNLINKED_PROGRESS = "p";

  private static final String UNVERSIONED_PROGRESS = "g";

  private static final String FAILURES = "n";

  /**
   * Key kind of failure counts of former versions, which used one key for the counts of all
   * holders.
   */
  private static final String FORMER_FAILURES = "f";

  private static final String OFFER = "o";

  /** Number of fields in a key of each kind. */
  private static final Map<String, Integer> FIELDS =
      Map.ofEntries(
          Map.entry(PART, 3),
          Map.entry(RESULT, 3),
          Map.entry(END, 2),
          Map.entry(PROGRESS, 5),
          Map.entry(UNLINKED_PROGRESS, 4),
          Map.entry(UNVERSIONED_PROGRESS, 5),
          Map.entry(FAILURES, 4),
          Map.entry(FORMER_FAILURES, 3),
          Map.entry(OFFER, 3));

  /**
   * Maximum length of the id of a job or an item. A key of the log holds 255 bytes and may contain
   * two ids and a point in the output.
   */
  static final int MAX_ID = 100;

  /** Maximum length of the id under which a job is stored. */
  private static final int MAX_STORED_ID = MAX_ID + JobScope.LENGTH;

  /** Maximum digits of a part's number or a result's position. */
  private static final int MAX_DIGITS = 6;

  /**
   * Maximum number of parts of a job; a call to the log holds 2 MiB, and callers may send 4 MiB.
   */
  private static final int MAX_PARTS = 1_000;

  /** Highest valid number of failed attempts at an item; an item is given up after a few. */
  private static final int MAX_FAILURES = 10_000;

  /** Maximum digits of an event number or an epoch. */
  private static final int MAX_LONG_DIGITS = 18;

  /** Highest valid event number and epoch. */
  static final long MAX_LONG = 999_999_999_999_999_999L;

  private static final byte ENDED = 1;

  /** Latest valid time of acceptance: the end of the year 9999. */
  private static final long MAX_MILLIS = 253_402_300_799_999L;

  private JobRecords() {}

  /**
   * Parsed key of a record.
   *
   * @param itemId id of the record's item; empty if the record is about the whole job
   * @param number number of a part or position of a result; 0 for all other kinds
   * @param start point at which a progress record begins; {@link ProgressLink#START} for all other
   *     kinds
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
   * Progress record: text that an item has produced between two points.
   *
   * @param after end of the text that this record extends
   * @param upTo end of this record's text, with the epoch of its writer
   * @param origin what wrote the text
   */
  record Progress(
      String itemId, ProgressLink after, ProgressLink upTo, String text, StreamOrigin origin) {

    /** Returns the point at which the text begins, with the epoch of its writer. */
    ProgressLink start() {
      return new ProgressLink(after.eventId(), upTo.epoch());
    }
  }

  /** Number of attempts at an item that endpoints have ended with status 500. */
  record Failures(String itemId, int count) {}

  /**
   * Part of an accepted job.
   *
   * @param count number of parts of the job
   * @param anonymous whether the part is marked as that of an anonymous caller's job. The marker
   *     follows the fields that former versions read, so that they still read the part
   */
  record Part(int count, byte[] bytes, boolean anonymous) {}

  /**
   * Parses a key.
   *
   * @throws UnreadableException if the key is not that of a job record
   */
  static Key key(String text) {
    String[] fields = text.split(String.valueOf(SEPARATOR), -1);
    Integer expected = FIELDS.get(fields[0]);
    if (expected == null || fields.length != expected) {
      throw new UnreadableException("key", "not the key of a job record");
    }
    String jobId = HttpText.id("key", fields[1], MAX_STORED_ID);
    boolean numbered = fields[0].equals(PART) || fields[0].equals(RESULT);
    int number = numbered ? (int) number(fields[2], MAX_DIGITS) : 0;
    boolean hasItem = !numbered && expected > 2;
    String itemId = hasItem ? HttpText.id("key", fields[2], MAX_ID) : "";
    if (fields[0].equals(FAILURES)) {
      number(fields[3], MAX_LONG_DIGITS);
    }
    ProgressLink start = fields[0].equals(PROGRESS) ? start(fields) : ProgressLink.START;
    return new Key(fields[0], jobId, itemId, number, start);
  }

  private static ProgressLink start(String[] fields) {
    long event = number(fields[3], MAX_LONG_DIGITS);
    long epoch = number(fields[4], MAX_LONG_DIGITS);
    if (!fields[3].equals(pad(event)) || !fields[4].equals(String.valueOf(epoch))) {
      throw new UnreadableException("key", "number is not in its canonical form");
    }
    return new ProgressLink(event - 1, epoch);
  }

  /**
   * Returns the id of the job in a key; empty if the key is not that of a job record. Such a key is
   * reported when its record is applied.
   */
  static Optional<String> jobId(String key) {
    String[] fields = key.split(String.valueOf(SEPARATOR), -1);
    boolean jobRecord = FIELDS.containsKey(fields[0]) && fields.length > 1;
    return jobRecord ? Optional.of(fields[1]) : Optional.empty();
  }

  private static long number(String text, int maxDigits) {
    boolean digits = text.chars().allMatch(each -> each >= '0' && each <= '9');
    if (text.isEmpty() || !digits || text.length() > maxDigits) {
      throw new UnreadableException("key", "not a number, or too long");
    }
    return Long.parseLong(text);
  }

  /**
   * Returns whether a key is that of a progress record or an offered result of an item, which are
   * needed only until the item has a result.
   */
  static boolean neededUntilResult(String key, String itemId) {
    String[] fields = key.split(String.valueOf(SEPARATOR));
    boolean unfinishedOnly =
        List.of(PROGRESS, UNVERSIONED_PROGRESS, UNLINKED_PROGRESS, OFFER).contains(fields[0]);
    return unfinishedOnly && fields.length > 2 && fields[2].equals(itemId);
  }

  /**
   * Returns the record of an offered result: one without a position, which the holder of the
   * partition lists.
   */
  static KeyedRecord offer(String jobId, JobResult result) {
    String key = String.join(String.valueOf(SEPARATOR), OFFER, jobId, result.itemId());
    return new KeyedRecord(key, pack(result));
  }

  static KeyedRecord end(String jobId) {
    return new KeyedRecord(END + SEPARATOR + jobId, new byte[] {ENDED});
  }

  static String resultKey(String jobId, int position) {
    return RESULT + SEPARATOR + jobId + SEPARATOR + position;
  }

  static KeyedRecord result(String jobId, int position, JobResult result) {
    return new KeyedRecord(resultKey(jobId, position), pack(result));
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

  /** Checks that a value marks the end of a job. */
  static void checkEnd(byte[] value) {
    if (value.length != 1 || value[0] != ENDED) {
      throw new UnreadableException("end", "value does not mark the end of a job");
    }
  }

  /** Checks that a value is about the item in its key. */
  static void checkItem(Key key, String itemId) {
    if (!key.itemId().equals(itemId)) {
      throw new UnreadableException("item", "differs from the item in the key");
    }
  }

  /** Checks that a progress record is about the item, and begins at the point, in its key. */
  static void checkStart(Key key, Progress progress) {
    checkItem(key, progress.itemId());
    if (!key.start().equals(progress.start())) {
      throw new UnreadableException("progress", "begins at another point than the key names");
    }
  }

  static KeyedRecord progress(String jobId, Progress progress) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(progress.itemId());
      packer.packLong(progress.after().eventId()).packLong(progress.after().epoch());
      packer.packLong(progress.upTo().eventId()).packLong(progress.upTo().epoch());
      packer.packString(progress.text());
      packer.packString(progress.origin().service()).packString(progress.origin().version());
      return new KeyedRecord(progressKey(jobId, progress), packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  static Progress progress(byte[] value) {
    return MessageReader.read(
        "progress",
        value,
        reader -> {
          String itemId = reader.text();
          ProgressLink after = after(reader);
          long upTo = reader.number("upTo", after.eventId() + 1, MAX_LONG - 1);
          long epoch = reader.number("epoch", 0L, MAX_LONG);
          ProgressLink end = new ProgressLink(upTo, epoch);
          String text = reader.text();
          StreamOrigin origin = new StreamOrigin(reader.text(), reader.text());
          return new Progress(itemId, after, end, text, origin);
        });
  }

  private static String progressKey(String jobId, Progress progress) {
    // The number is padded, so that the records of an item sort in their order when they are listed
    // by key.
    String start = pad(progress.start().eventId() + 1);
    String epoch = String.valueOf(progress.start().epoch());
    return String.join(String.valueOf(SEPARATOR), PROGRESS, jobId, progress.itemId(), start, epoch);
  }

  private static String pad(long event) {
    String number = String.valueOf(event);
    return "0".repeat(Math.max(0, EVENT_DIGITS - number.length())) + number;
  }

  private static ProgressLink after(MessageReader reader) throws IOException {
    long event = reader.number("after", -1L, MAX_LONG - 1);
    long epoch = reader.number("extended epoch", -1L, MAX_LONG);
    if (event < 0 != epoch < 0) {
      throw new UnreadableException(
          "after", "event without the epoch of its holder, or an epoch without an event");
    }
    return new ProgressLink(event, epoch);
  }

  /**
   * Returns the record of a failure count. Its key contains the holder's epoch, so that a late
   * record of a former holder, which may hold a lower count, does not replace it.
   */
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
    boolean anonymous = job.workspace().isEmpty() && !job.fromFormerVersion();
    int count = Math.max(1, (bytes.length + PART_BYTES - 1) / PART_BYTES);
    List<KeyedRecord> records = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      int from = number * PART_BYTES;
      int length = Math.min(PART_BYTES, bytes.length - from);
      byte[] slice = Arrays.copyOfRange(bytes, from, from + length);
      records.add(part(job.id(), number, new Part(count, slice, anonymous)));
    }
    return records;
  }

  private static KeyedRecord part(String jobId, int number, Part part) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(part.count());
      packer.packBinaryHeader(part.bytes().length);
      packer.writePayload(part.bytes());
      if (part.anonymous()) {
        packer.packBoolean(true);
      }
      return new KeyedRecord(PART + SEPARATOR + jobId + SEPARATOR + number, packer.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  static Part part(byte[] value) {
    return MessageReader.read(
        "part",
        value,
        reader -> {
          int count = reader.number("count", 1, MAX_PARTS);
          byte[] bytes = reader.bytes();
          return new Part(count, bytes, reader.hasMore() && reader.flag());
        });
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
      if (job.workspace().isPresent()) {
        packer.packString(job.workspace().get().value());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("A buffer in memory failed", e);
    }
  }

  /**
   * Decodes a job.
   *
   * @param anonymous whether its parts are marked as those of an anonymous caller's job
   */
  static Job decode(String jobId, byte[] bytes, boolean anonymous) {
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
          JobItem.checked(items);
          // Jobs of former versions, and those of anonymous callers, end with their items.
          WorkspaceId workspace = reader.hasMore() ? workspace(reader.text()) : null;
          return workspace == null && !anonymous
              ? Job.ofFormerVersion(jobId, host, accepted, items)
              : new Job(jobId, host, accepted, items, workspace);
        });
  }

  private static WorkspaceId workspace(String name) {
    return new WorkspaceId(HttpText.headerValue("workspace", name));
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

  private static byte[] pack(JobResult result) {
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

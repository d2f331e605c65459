package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class JobTableTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

  /**
   * Two processes list the same results at other positions. One has read the log from its start,
   * the other one the newest records by key, some of them twice.
   */
  @Property(tries = 200)
  void holdsTheSameHoweverRecordsArrive(@ForAll long seed) {
    Random random = new Random(seed);
    List<KeyedRecord> records = new ArrayList<>(JobRecords.accepted(job(400_000)));
    records.add(JobRecords.result("j", 0, new JobResult("i2", true, "two")));
    records.add(JobRecords.result("j", 1, new JobResult("i1", false, "")));
    records.add(JobRecords.end("j"));
    JobTable inOrder = new JobTable();
    records.forEach(inOrder::take);
    List<KeyedRecord> shuffled = new ArrayList<>(records);
    records.stream().filter(any -> random.nextBoolean()).forEach(shuffled::add);
    Collections.shuffle(shuffled, random);
    JobTable other = new JobTable();
    shuffled.forEach(other::take);
    assertEquals(page(inOrder), page(other));
    assertTrue(other.find("j").orElseThrow().ended());
    assertTrue(other.find("j").orElseThrow().complete());
  }

  @Test
  void showsNothingBehindAGap() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::take);
    table.take(JobRecords.result("j", 1, new JobResult("i1", true, "one")));
    assertEquals(List.of(), page(table));
    table.take(JobRecords.result("j", 0, new JobResult("i2", true, "two")));
    assertEquals(2, page(table).size());
  }

  /** A result that was read changes, because a former holder of the partition wrote late. */
  @Test
  void keepsTheFirstResultOfAPositionAndOfAnItem() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::take);
    table.take(JobRecords.result("j", 0, new JobResult("i1", true, "one")));
    table.take(JobRecords.result("j", 0, new JobResult("i2", true, "two")));
    table.take(JobRecords.result("j", 1, new JobResult("i1", true, "other")));
    assertEquals(List.of(new JobResult("i1", true, "one")), page(table));
  }

  @Test
  void keepsBodiesOfLargeJobs() {
    JobTable table = new JobTable();
    List<KeyedRecord> parts = JobRecords.accepted(job(500_000));
    assertEquals(5, parts.size());
    for (KeyedRecord part : parts.subList(0, 4)) {
      table.take(part);
      assertFalse(table.find("j").isPresent());
    }
    table.take(parts.get(4));
    JobItem item = table.find("j").orElseThrow().item("i1").orElseThrow();
    assertArrayEquals(new byte[500_000], item.body());
    assertEquals(Map.of("X", "y"), item.headers());
  }

  /**
   * A job is late by a whole run of each item after all processes were restarted at once. What the
   * items had gained was in the memory of their holders alone.
   */
  @Test
  void keepsWhatItemsHadGained() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::take);
    ProgressLink third = new ProgressLink(3, 1);
    ProgressLink fifth = new ProgressLink(5, 1);
    KeyedRecord first =
        JobRecords.gained("j", new JobRecords.Gained("i1", ProgressLink.START, third, "a\nb"));
    KeyedRecord second = JobRecords.gained("j", new JobRecords.Gained("i1", third, fifth, "\nc"));
    assertTrue(first.key().compareTo(second.key()) < 0);
    table.take(first);
    table.take(second);
    table.take(second);
    Job job = table.find("j").orElseThrow();
    assertEquals(new ItemProgress(fifth, "a\nb\nc"), job.progress("i1"));
    assertEquals(ItemProgress.NONE, job.progress("i2"));
    table.take(JobRecords.result("j", 0, new JobResult("i1", true, "a\nb\nc")));
    assertEquals(ItemProgress.NONE, job.progress("i1"));
  }

  @Test
  void passesOverProgressBehindAGap() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::take);
    ProgressLink third = new ProgressLink(3, 1);
    ProgressLink fifth = new ProgressLink(5, 1);
    table.take(JobRecords.gained("j", new JobRecords.Gained("i1", third, fifth, "\nc")));
    assertEquals(ItemProgress.NONE, table.find("j").orElseThrow().progress("i1"));
  }

  /** A text joins two runs: a record of a former version follows a number, whoever brought it. */
  @Test
  void joinsNoProgressOfAFormerVersionAndDropsItWithTheRest() throws IOException {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::take);
    ProgressLink third = new ProgressLink(3, 1);
    table.take(
        JobRecords.gained("j", new JobRecords.Gained("i1", ProgressLink.START, third, "a\nb")));
    List<String> unreadable = new ArrayList<>();
    table.onUnreadable((key, cause) -> unreadable.add(key));
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString("i1").packLong(3).packLong(5).packString("\nc");
      table.take(new KeyedRecord("p/j/i1/00000004", packer.toByteArray()));
    }
    assertEquals(new ItemProgress(third, "a\nb"), table.find("j").orElseThrow().progress("i1"));
    assertEquals(List.of(), unreadable);
    assertTrue(table.keys("j").contains("p/j/i1/00000004"));
    assertTrue(JobRecords.neededUntilResult("p/j/i1/00000004", "i1"));
  }

  /** An item goes on behind text that whoever loads the log next does not find there. */
  @Test
  void dropsTheProgressWhoseRecordIsDropped() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::take);
    ItemRecorder item = new ItemRecorder("i1", ItemProgress.NONE, 1);
    item.take(1, 3, "a");
    table.take(item.record("j"));
    item.take(4, 5, "a");
    KeyedRecord second = item.record("j");
    table.take(second);
    assertEquals(5, table.find("j").orElseThrow().progress("i1").lastEventId());
    assertTrue(JobRecords.neededUntilResult(second.key(), "i1"));
    table.take(new KeyedRecord(second.key(), null));
    assertEquals(3, table.find("j").orElseThrow().progress("i1").lastEventId());
  }

  /** No progress of an item with a long id is ever recorded: the store refuses its key. */
  @Test
  void keepsKeysWithinWhatTheLogTakes() {
    String id = "i".repeat(JobRecords.MAX_ID);
    ProgressLink after = new ProgressLink(999_999_999_999_999_997L, 999_999_999_999_999_999L);
    ProgressLink upTo = new ProgressLink(999_999_999_999_999_998L, 999_999_999_999_999_999L);
    KeyedRecord record = JobRecords.gained(id, new JobRecords.Gained(id, after, upTo, ""));
    assertTrue(record.key().length() <= 255, record.key());
    assertEquals(after, JobRecords.key(record.key()).start());
  }

  /** A holder is busy for seconds with the records of an item that many holders have run. */
  @Test
  void joinsManyRecordsInNoTime() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::take);
    Job job = table.find("j").orElseThrow();
    int count = 100_000;
    ItemRecorder item = new ItemRecorder("i1", ItemProgress.NONE, 1);
    List<KeyedRecord> records = new ArrayList<>();
    for (int number = 1; number <= count; number++) {
      item.take(number, number, "a");
      records.add(item.record("j"));
    }
    // Of this thread alone: others may keep the cores busy meanwhile.
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long before = threads.getCurrentThreadCpuTime();
    records.forEach(table::take);
    assertEquals(count, job.progress("i1").lastEventId());
    Duration took = Duration.ofNanos(threads.getCurrentThreadCpuTime() - before);
    assertTrue(took.compareTo(Duration.ofSeconds(5)) < 0, took.toString());
    assertEquals(2 * count - 1, job.progress("i1").text().length());
  }

  /**
   * An item that can never be done runs more often than the route allows: a former holder's lower
   * count of its failed runs came late and replaced the holder's.
   */
  @Test
  void keepsTheHighestCountOfFailedRunsThoughALowerOneComesLate() {
    List<KeyedRecord> log = new ArrayList<>(JobRecords.accepted(job(10)));
    KeyedRecord late = JobRecords.failures("j", new JobRecords.Failures("i1", 1), 1);
    log.add(JobRecords.failures("j", new JobRecords.Failures("i1", 1), 2));
    log.add(JobRecords.failures("j", new JobRecords.Failures("i1", 2), 2));
    log.add(late);
    Map<String, KeyedRecord> newest = new TreeMap<>();
    log.forEach(record -> newest.put(record.key(), record));
    JobTable loaded = new JobTable();
    newest.values().forEach(loaded::take);
    assertEquals(2, loaded.find("j").orElseThrow().failures("i1"));
    loaded.take(new KeyedRecord("f/j/i1", late.value()));
    assertEquals(2, loaded.find("j").orElseThrow().failures("i1"));
  }

  @Test
  void dropsAJobWhoseRecordsAreDropped() {
    JobTable table = new JobTable();
    List<KeyedRecord> parts = JobRecords.accepted(job(10));
    parts.forEach(table::take);
    table.take(new KeyedRecord(parts.get(0).key(), null));
    assertFalse(table.find("j").isPresent());
  }

  private static List<JobResult> page(JobTable table) {
    return table.find("j").orElseThrow().page(0, 1_000_000);
  }

  private static Job job(int bodyBytes) {
    List<JobItem> items =
        List.of(
            new JobItem("i1", "/p/1", Map.of("X", "y"), new byte[bodyBytes]),
            new JobItem("i2", "/p/2", Map.of(), new byte[bodyBytes]));
    return new Job("j", "h.example", NOW, items);
  }

  /** A partition seems to hold more and more, although what replaced its records is small. */
  @Test
  void countsTheBytesOfNewestRecordsAlone() {
    JobTable table = new JobTable();
    JobRecords.Gained gained =
        new JobRecords.Gained("i1", ProgressLink.START, new ProgressLink(5, 1), "text");
    KeyedRecord progress = JobRecords.gained("j", gained);
    table.take(progress);
    table.take(progress);
    assertEquals(progress.value().length, table.bytes());
    table.take(new KeyedRecord(progress.key(), null));
    assertEquals(0, table.bytes());
    assertEquals(Set.of(), table.jobIds());
  }

  /** An item is listed twice: its former holder's result came after its holder had listed it. */
  @Test
  void passesOverAnOfferOfAnItemThatHasItsResult() {
    Job job =
        new Job("j", "h", Instant.EPOCH, List.of(new JobItem("i1", "/p", Map.of(), new byte[0])));
    JobResult result = new JobResult("i1", true, "a");
    job.offer(result);
    assertEquals(Optional.of(result), job.offered("i1"));
    job.put(0, result);
    job.offer(result);
    assertEquals(Optional.empty(), job.offered("i1"));
  }
}

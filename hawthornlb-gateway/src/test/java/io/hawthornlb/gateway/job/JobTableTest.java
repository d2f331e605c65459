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
   * Guards against a text of two versions: progress that a former version of this program recorded
   * does not name the version that wrote it.
   */
  @Test
  void passesOverProgressThatNamesNoVersion() throws IOException {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::apply);
    List<String> unreadable = new ArrayList<>();
    table.onUnreadable((key, cause) -> unreadable.add(key));
    String key = "g/j/i1/00000000/1";
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString("i1").packLong(-1).packLong(-1).packLong(3).packLong(1).packString("a");
      table.apply(new KeyedRecord(key, packer.toByteArray()));
    }
    assertEquals(ItemProgress.NONE, table.find("j").orElseThrow().progress("i1"));
    assertEquals(List.of(), unreadable);
    assertTrue(JobRecords.neededUntilResult(key, "i1"));
  }

  /**
   * Guards against processes that list the same results at different positions. One process has
   * read the log from its start; the other has read the newest records by key, some of them twice.
   */
  @Property(tries = 200)
  void doesNotDependOnTheOrderOfRecords(@ForAll long seed) {
    Random random = new Random(seed);
    List<KeyedRecord> records = new ArrayList<>(JobRecords.accepted(job(400_000)));
    records.add(JobRecords.result("j", 0, new JobResult("i2", true, "two")));
    records.add(JobRecords.result("j", 1, new JobResult("i1", false, "")));
    records.add(JobRecords.end("j"));
    JobTable inOrder = new JobTable();
    records.forEach(inOrder::apply);
    List<KeyedRecord> shuffled = new ArrayList<>(records);
    records.stream().filter(any -> random.nextBoolean()).forEach(shuffled::add);
    Collections.shuffle(shuffled, random);
    JobTable other = new JobTable();
    shuffled.forEach(other::apply);
    assertEquals(page(inOrder), page(other));
    assertTrue(other.find("j").orElseThrow().ended());
    assertTrue(other.find("j").orElseThrow().complete());
  }

  @Test
  void returnsNoResultAfterAGap() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::apply);
    table.apply(JobRecords.result("j", 1, new JobResult("i1", true, "one")));
    assertEquals(List.of(), page(table));
    table.apply(JobRecords.result("j", 0, new JobResult("i2", true, "two")));
    assertEquals(2, page(table).size());
  }

  /**
   * Guards against a result that changes after a caller has read it, because a former holder of the
   * partition wrote late.
   */
  @Test
  void keepsTheFirstResultOfAPositionAndOfAnItem() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::apply);
    table.apply(JobRecords.result("j", 0, new JobResult("i1", true, "one")));
    table.apply(JobRecords.result("j", 0, new JobResult("i2", true, "two")));
    table.apply(JobRecords.result("j", 1, new JobResult("i1", true, "other")));
    assertEquals(List.of(new JobResult("i1", true, "one")), page(table));
  }

  @Test
  void joinsThePartsOfLargeJobs() {
    JobTable table = new JobTable();
    List<KeyedRecord> parts = JobRecords.accepted(job(500_000));
    assertEquals(5, parts.size());
    for (KeyedRecord part : parts.subList(0, 4)) {
      table.apply(part);
      assertFalse(table.find("j").isPresent());
    }
    table.apply(parts.get(4));
    JobItem item = table.find("j").orElseThrow().item("i1").orElseThrow();
    assertArrayEquals(new byte[500_000], item.body());
    assertEquals(Map.of("X", "y"), item.headers());
  }

  /**
   * Guards against a job that is late by a whole run of each item after all processes were
   * restarted at once, because only the holders' memory contained the progress of the items.
   */
  @Test
  void keepsTheProgressOfItems() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::apply);
    ProgressLink third = new ProgressLink(3, 1);
    ProgressLink fifth = new ProgressLink(5, 1);
    KeyedRecord first =
        JobRecords.progress(
            "j",
            new JobRecords.Progress("i1", ProgressLink.START, third, "a\nb", ItemRecorder.ORIGIN));
    KeyedRecord second =
        JobRecords.progress(
            "j", new JobRecords.Progress("i1", third, fifth, "\nc", ItemRecorder.ORIGIN));
    assertTrue(first.key().compareTo(second.key()) < 0);
    table.apply(first);
    table.apply(second);
    table.apply(second);
    Job job = table.find("j").orElseThrow();
    assertEquals(new ItemProgress(fifth, "a\nb\nc", ItemRecorder.ORIGIN), job.progress("i1"));
    assertEquals(ItemProgress.NONE, job.progress("i2"));
    table.apply(JobRecords.result("j", 0, new JobResult("i1", true, "a\nb\nc")));
    assertEquals(ItemProgress.NONE, job.progress("i1"));
  }

  @Test
  void ignoresProgressAfterAGap() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::apply);
    ProgressLink third = new ProgressLink(3, 1);
    ProgressLink fifth = new ProgressLink(5, 1);
    table.apply(
        JobRecords.progress(
            "j", new JobRecords.Progress("i1", third, fifth, "\nc", ItemRecorder.ORIGIN)));
    assertEquals(ItemProgress.NONE, table.find("j").orElseThrow().progress("i1"));
  }

  /**
   * Guards against a text that mixes two attempts. A record of a former version only names the
   * number of the event before it, no matter which holder wrote that event.
   */
  @Test
  void ignoresProgressOfAFormerVersionAndDeletesItWithTheRest() throws IOException {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::apply);
    ProgressLink third = new ProgressLink(3, 1);
    table.apply(
        JobRecords.progress(
            "j",
            new JobRecords.Progress("i1", ProgressLink.START, third, "a\nb", ItemRecorder.ORIGIN)));
    List<String> unreadable = new ArrayList<>();
    table.onUnreadable((key, cause) -> unreadable.add(key));
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString("i1").packLong(3).packLong(5).packString("\nc");
      table.apply(new KeyedRecord("p/j/i1/00000004", packer.toByteArray()));
    }
    assertEquals(
        new ItemProgress(third, "a\nb", ItemRecorder.ORIGIN),
        table.find("j").orElseThrow().progress("i1"));
    assertEquals(List.of(), unreadable);
    assertTrue(table.keys("j").contains("p/j/i1/00000004"));
    assertTrue(JobRecords.neededUntilResult("p/j/i1/00000004", "i1"));
  }

  /**
   * Guards against an item that continues after text that the next process to load the log does not
   * find there.
   */
  @Test
  void removesProgressWhoseRecordIsDeleted() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::apply);
    ItemRecorder item = new ItemRecorder("i1", ItemProgress.NONE, 1);
    item.append(1, 3, "a");
    table.apply(item.record("j"));
    item.append(4, 5, "a");
    KeyedRecord second = item.record("j");
    table.apply(second);
    assertEquals(5, table.find("j").orElseThrow().progress("i1").lastEventId());
    assertTrue(JobRecords.neededUntilResult(second.key(), "i1"));
    table.apply(new KeyedRecord(second.key(), null));
    assertEquals(3, table.find("j").orElseThrow().progress("i1").lastEventId());
  }

  /**
   * Guards against an item with a long id whose progress is never recorded, because the store
   * refuses its key.
   */
  @Test
  void keepsKeysWithinTheLimitOfTheLog() {
    String id = "i".repeat(JobRecords.MAX_ID);
    ProgressLink after = new ProgressLink(999_999_999_999_999_997L, 999_999_999_999_999_999L);
    ProgressLink upTo = new ProgressLink(999_999_999_999_999_998L, 999_999_999_999_999_999L);
    KeyedRecord record =
        JobRecords.progress(id, new JobRecords.Progress(id, after, upTo, "", ItemRecorder.ORIGIN));
    assertTrue(record.key().length() <= 255, record.key());
    assertEquals(after, JobRecords.key(record.key()).start());
  }

  /**
   * Guards against a holder that is busy for seconds with the records of an item that many holders
   * have run.
   */
  @Test
  void joinsManyRecordsQuickly() {
    JobTable table = new JobTable();
    JobRecords.accepted(job(10)).forEach(table::apply);
    Job job = table.find("j").orElseThrow();
    int count = 100_000;
    ItemRecorder item = new ItemRecorder("i1", ItemProgress.NONE, 1);
    List<KeyedRecord> records = new ArrayList<>();
    for (int number = 1; number <= count; number++) {
      item.append(number, number, "a");
      records.add(item.record("j"));
    }
    // The test measures the CPU time of this thread only, since other processes may keep the cores
    // busy.
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long before = threads.getCurrentThreadCpuTime();
    records.forEach(table::apply);
    assertEquals(count, job.progress("i1").lastEventId());
    Duration cpuTime = Duration.ofNanos(threads.getCurrentThreadCpuTime() - before);
    assertTrue(cpuTime.compareTo(Duration.ofSeconds(5)) < 0, cpuTime.toString());
    assertEquals(2 * count - 1, job.progress("i1").text().length());
  }

  /**
   * Guards against an item that can never complete and that runs more often than the route allows.
   * A former holder's lower failure count arrived late and replaced the present holder's count.
   */
  @Test
  void keepsTheHighestFailureCountWhenALowerOneArrivesLate() {
    List<KeyedRecord> log = new ArrayList<>(JobRecords.accepted(job(10)));
    KeyedRecord late = JobRecords.failures("j", new JobRecords.Failures("i1", 1), 1);
    log.add(JobRecords.failures("j", new JobRecords.Failures("i1", 1), 2));
    log.add(JobRecords.failures("j", new JobRecords.Failures("i1", 2), 2));
    log.add(late);
    Map<String, KeyedRecord> newest = new TreeMap<>();
    log.forEach(record -> newest.put(record.key(), record));
    JobTable loaded = new JobTable();
    newest.values().forEach(loaded::apply);
    assertEquals(2, loaded.find("j").orElseThrow().failures("i1"));
    loaded.apply(new KeyedRecord("f/j/i1", late.value()));
    assertEquals(2, loaded.find("j").orElseThrow().failures("i1"));
  }

  @Test
  void removesAJobWhoseRecordsAreDeleted() {
    JobTable table = new JobTable();
    List<KeyedRecord> parts = JobRecords.accepted(job(10));
    parts.forEach(table::apply);
    table.apply(new KeyedRecord(parts.get(0).key(), null));
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

  /**
   * Guards against a partition whose size seems to grow, although the records that replace others
   * are small.
   */
  @Test
  void countsOnlyTheBytesOfTheNewestRecords() {
    JobTable table = new JobTable();
    JobRecords.Progress added =
        new JobRecords.Progress(
            "i1", ProgressLink.START, new ProgressLink(5, 1), "text", ItemRecorder.ORIGIN);
    KeyedRecord progress = JobRecords.progress("j", added);
    table.apply(progress);
    table.apply(progress);
    assertEquals(progress.value().length, table.bytes());
    table.apply(new KeyedRecord(progress.key(), null));
    assertEquals(0, table.bytes());
    assertEquals(Set.of(), table.jobIds());
  }

  /**
   * Guards against an item that is listed twice, because its former holder's result arrived after
   * the present holder had listed the item.
   */
  @Test
  void ignoresAnOfferOfAnItemThatHasAResult() {
    Job job =
        new Job("j", "h", Instant.EPOCH, List.of(new JobItem("i1", "/p", Map.of(), new byte[0])));
    JobResult result = new JobResult("i1", true, "a");
    job.addOffer(result);
    assertEquals(Optional.of(result), job.offered("i1"));
    job.put(0, result);
    job.addOffer(result);
    assertEquals(Optional.empty(), job.offered("i1"));
  }
}

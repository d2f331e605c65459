package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.decode.ForeignBytes;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a record of another writer that cannot be decoded and that stops a whole
 * partition: its holder only read that record again and again, and no process could run or read any
 * job of the partition.
 */
class ForeignJobRecordsTest {

  private static final ProgressLink END = new ProgressLink(2, 1);
  private static final byte[] GARBAGE = {(byte) 0xff, 0, 7};
  private static final List<String> KINDS =
      List.of("a", "r", "e", "v", "g", "p", "n", "f", "o", "x", "");
  private static final List<String> TAILS =
      List.of(
          "",
          "/",
          "/0",
          "/1",
          "/-1",
          "/x",
          "/99999999999",
          "/i1",
          "/i1/00000000",
          "/i1/00000000/1",
          "/0/0/0/0");

  private final JobTable table = new JobTable();

  @Property(tries = 1_500, seed = ForeignBytes.SEED)
  void validRecordsSurviveDamagedOnes(@ForAll long seed) {
    Random random = new Random(seed);
    List<KeyedRecord> good = records("good");
    List<KeyedRecord> all = new ArrayList<>(good);
    for (KeyedRecord record : records("bad")) {
      byte[] value = ForeignBytes.of(record.value(), random);
      all.add(random.nextInt(all.size() + 1), new KeyedRecord(record.key(), value));
      String key =
          KINDS.get(random.nextInt(KINDS.size()))
              + (random.nextInt(4) == 0 ? "" : "/bad")
              + TAILS.get(random.nextInt(TAILS.size()));
      all.add(random.nextInt(all.size() + 1), new KeyedRecord(key, value));
    }
    JobTable read = new JobTable();
    int length = all.stream().mapToInt(each -> each.value().length).sum();
    ForeignBytes.read(
        length,
        () -> {
          all.forEach(read::apply);
          read.find("bad").ifPresent(job -> job.page(0, 1_000));
          return read;
        });
    Job job = read.find("good").orElseThrow();
    assertEquals(List.of(new JobResult("i1", true, "one")), job.page(0, 1_000));
    assertEquals(new ItemProgress(END, "two", ItemRecorder.ORIGIN), job.progress("i2"));
    assertEquals(3, job.failures("i2"));
    assertTrue(job.ended());
  }

  /** Guards against an accepted job that disappears at processes that had read it. */
  @Test
  void aKnownJobStaysWhenItsRecordIsDestroyed() {
    records("j").forEach(table::apply);
    table.apply(new KeyedRecord("a/j/0", GARBAGE));
    assertTrue(table.find("j").isPresent());
  }

  /**
   * Checks that a job whose record another writer has destroyed is known again once the record is
   * written again.
   */
  @Test
  void aJobIsKnownOnceItsRecordIsWrittenAgain() {
    table.apply(new KeyedRecord("a/j/0", GARBAGE));
    table.apply(new KeyedRecord("a/j/1", GARBAGE));
    assertFalse(table.find("j").isPresent());
    records("j").forEach(table::apply);
    assertTrue(table.find("j").isPresent());
  }

  /**
   * Checks that a job of several records, one of which contains bytes of another writer, is known
   * again once all of them are written again.
   */
  @Test
  void aJobOfSeveralRecordsIsKnownOnceItIsWrittenAgain() {
    List<JobItem> items =
        List.of(new JobItem("i1", "/p/1", Map.of(), new byte[2 * JobRecords.PART_BYTES]));
    Job job = new Job("j", "h.example", Instant.EPOCH, items);
    List<KeyedRecord> records = JobRecords.accepted(job);
    byte[] foreign = records.get(0).value().clone();
    Arrays.fill(foreign, 20, 60, (byte) 0xc1);
    table.apply(new KeyedRecord(records.get(0).key(), foreign));
    records.stream().skip(1).forEach(table::apply);
    assertFalse(table.find("j").isPresent());
    assertTrue(table.maybeAccepted("j"));
    records.forEach(table::apply);
    assertTrue(table.find("j").isPresent());
    assertFalse(table.maybeAccepted("j"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"r/j/7", "r/j/-1", "r/j/2000000000"})
  void aResultBeyondTheItemsIsIgnored(String key) {
    records("j").forEach(table::apply);
    KeyedRecord result = JobRecords.result("j", 0, new JobResult("i2", true, "two"));
    table.apply(new KeyedRecord(key, result.value()));
    assertFalse(table.find("j").orElseThrow().listed("i2"));
  }

  /**
   * Guards against a job that seems complete and lacks a result, because one result names an item
   * of another job.
   */
  @Test
  void aResultOfAnotherJobsItemIsIgnored() {
    records("j").forEach(table::apply);
    table.apply(JobRecords.result("j", 1, new JobResult("other", true, "two")));
    assertEquals(1, table.find("j").orElseThrow().resultCount());
    assertFalse(table.find("j").orElseThrow().complete());
  }

  /** Guards against a job that stops running because of an end record that does not mark an end. */
  @Test
  void anInvalidEndRecordDoesNotEndTheJob() {
    JobRecords.accepted(job("j")).forEach(table::apply);
    table.apply(new KeyedRecord("e/j", GARBAGE));
    assertFalse(table.find("j").orElseThrow().ended());
  }

  /**
   * Guards against a holder that writes the same records again and again, because none of them
   * replaces the foreign one.
   */
  @Test
  void doesNotRestoreRecordsUnderKeysThatItNeverWrites() {
    records("j").forEach(table::apply);
    for (String key :
        List.of("a/j/7", "r/j/00", "r/j/1", "p/j/i1/x", "v/j/i1/x/1", "e/k", "a/k/0")) {
      table.apply(new KeyedRecord(key, GARBAGE));
    }
    assertEquals(List.of(), table.restorations());
    table.apply(new KeyedRecord("r/j/0", GARBAGE));
    table.apply(new KeyedRecord("e/j", GARBAGE));
    assertEquals(2, table.restorations().size());
    table.restorations().forEach(each -> each.forEach(table::apply));
    assertEquals(List.of(), table.restorations());
  }

  /**
   * Guards against an item that is given up although no endpoint failed at it, because the record
   * names another item.
   */
  @Test
  void aRecordWhoseItemDiffersFromItsKeyIsIgnored() {
    JobRecords.accepted(job("j")).forEach(table::apply);
    KeyedRecord failures = JobRecords.failures("j", new JobRecords.Failures("i2", 9), 1);
    table.apply(new KeyedRecord("f/j/i1", failures.value()));
    table.apply(new KeyedRecord("n/j/i1/1", failures.value()));
    assertEquals(0, table.find("j").orElseThrow().failures("i2"));
    assertEquals(0, table.find("j").orElseThrow().failures("i1"));
  }

  /**
   * Guards against a text that continues with an attempt that was not asked to continue it, because
   * a record is stored under the key of another.
   */
  @ParameterizedTest
  @ValueSource(strings = {"v/j/i2/00000001/1", "v/j/i2/00000000/2", "v/j/i2/0/1", "v/j/i1/0/1"})
  void progressUnderTheKeyOfAnotherPointIsIgnored(String key) {
    JobRecords.accepted(job("j")).forEach(table::apply);
    JobRecords.Progress progress =
        new JobRecords.Progress("i2", ProgressLink.START, END, "two", ItemRecorder.ORIGIN);
    table.apply(new KeyedRecord(key, JobRecords.progress("j", progress).value()));
    assertEquals(ItemProgress.NONE, table.find("j").orElseThrow().progress("i2"));
    assertEquals(ItemProgress.NONE, table.find("j").orElseThrow().progress("i1"));
  }

  private static List<KeyedRecord> records(String jobId) {
    List<KeyedRecord> records = new ArrayList<>(JobRecords.accepted(job(jobId)));
    records.add(JobRecords.result(jobId, 0, new JobResult("i1", true, "one")));
    records.add(
        JobRecords.progress(
            jobId,
            new JobRecords.Progress("i2", ProgressLink.START, END, "two", ItemRecorder.ORIGIN)));
    records.add(JobRecords.failures(jobId, new JobRecords.Failures("i2", 3), 1));
    records.add(JobRecords.end(jobId));
    return records;
  }

  private static Job job(String id) {
    List<JobItem> items =
        List.of(
            new JobItem("i1", "/p/1", Map.of("X", "y"), new byte[10]),
            new JobItem("i2", "/p/2", Map.of(), new byte[10]));
    return new Job(id, "h.example", Instant.EPOCH, items);
  }
}

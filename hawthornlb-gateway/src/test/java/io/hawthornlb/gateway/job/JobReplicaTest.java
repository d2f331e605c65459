package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class JobReplicaTest {

  private static final int ITEMS = 7;

  private final VirtualLoop time = new VirtualLoop();
  private final PagedLogStore store = new PagedLogStore(time.loop(), 1, 2);
  private final JobReplica replica =
      new JobReplica(store, JobReplicas.TOPIC, 0, new LoadGate(), time.loop());

  /**
   * A report is listed at two positions. A process that had not followed the log for a while took
   * its partition over, read one page of what it had missed, and went on numbering where that page
   * ended.
   */
  @Test
  void readsAllPagesUpToTheEnd() {
    refresh();
    append(JobRecords.accepted(job("j")));
    IntStream.range(0, ITEMS).forEach(this::appendResult);
    refresh();
    assertEquals(ITEMS, find("j").resultCount());
  }

  /**
   * A caller is told that an accepted job does not exist. The process had begun to load its list
   * before the job was accepted elsewhere, the store was slow, and the read about the job was
   * answered from that list.
   */
  @Test
  void answersNoReadFromAListThatBeganEarlier() {
    store.holdLists();
    CompletableFuture<Void> early = replica.refresh().toCompletableFuture();
    append(JobRecords.accepted(job("j")));
    CompletableFuture<Void> late = replica.refresh().toCompletableFuture();
    store.letGo();
    time.advance(Duration.ofMillis(1));
    assertTrue(early.isDone());
    assertTrue(late.isDone());
    assertTrue(replica.table().find("j").isPresent());
  }

  /**
   * A result changes its position. The store forgot its history, the holder loaded the list anew,
   * and meanwhile wrote a result that the list did not have yet; the next result got its position.
   */
  @Test
  void keepsWhatWasWrittenDuringALoad() {
    append(JobRecords.accepted(job("j")));
    refresh();
    store.holdLists();
    store.forgetOnce();
    replica.refresh();
    time.advance(Duration.ofMillis(1));
    KeyedRecord written = result(0);
    append(List.of(written));
    replica.take(written);
    Job known = find("j");
    store.letGo();
    time.advance(Duration.ofMillis(1));
    assertEquals(1, find("j").resultCount());
    assertEquals(1, known.resultCount());
  }

  /**
   * A job that was dropped long ago fills the memory of a process for good. Its records were
   * dropped in the part of the history that the store forgot.
   */
  @Test
  void dropsJobsThatANewListLacks() {
    append(JobRecords.accepted(job("j")));
    refresh();
    append(List.of(new KeyedRecord(JobRecords.accepted(job("j")).get(0).key(), null)));
    append(JobRecords.accepted(job("k")));
    store.forgetOnce();
    refresh();
    assertFalse(replica.table().find("j").isPresent());
    assertTrue(replica.table().find("k").isPresent());
  }

  /**
   * A job cannot be read at the end of the day. Its partition had more pages than came in a row
   * without a failure over a small link, and each failure began the load with the first page.
   */
  @Test
  void goesOnWithALoadBehindTheLastPage() {
    PagedLogStore pages = new PagedLogStore(time.loop(), 1, 2);
    JobReplica slow = new JobReplica(pages, JobReplicas.TOPIC, 0, new LoadGate(), time.loop());
    pages.pageKeys(2);
    for (int i = 0; i < ITEMS; i++) {
      pages.append(new AppendCall(JobReplicas.TOPIC, 0, JobRecords.accepted(job("j" + i)), null));
    }
    for (int attempt = 0; attempt < ITEMS; attempt++) {
      pages.failListsAfter(1);
      slow.refresh();
      time.advance(Duration.ofMillis(1));
    }
    assertEquals(ITEMS, slow.table().all().size());
  }

  private void refresh() {
    CompletableFuture<Void> done = replica.refresh().toCompletableFuture();
    time.advance(Duration.ofMillis(1));
    assertTrue(done.isDone());
  }

  private Job find(String jobId) {
    return replica.table().find(jobId).orElseThrow();
  }

  private void appendResult(int position) {
    append(List.of(result(position)));
  }

  private static KeyedRecord result(int position) {
    return JobRecords.result("j", position, new JobResult("i" + position, true, "text"));
  }

  private void append(List<KeyedRecord> records) {
    store.append(new AppendCall(JobReplicas.TOPIC, 0, records, null));
  }

  private static Job job(String id) {
    List<JobItem> items =
        IntStream.range(0, ITEMS)
            .mapToObj(number -> new JobItem("i" + number, "/p", Map.of(), new byte[0]))
            .toList();
    return new Job(id, "h", Instant.EPOCH, items);
  }
}

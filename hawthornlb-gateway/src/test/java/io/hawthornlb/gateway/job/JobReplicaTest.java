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
      new JobReplica(store, JobReplicas.TOPIC, 0, new LoadLimiter(), time.loop());

  /**
   * Guards against a result that is listed at two positions. A process that had not read the log
   * for a while took its partition over, read one page of the missing records, and continued to
   * number results where that page ended.
   */
  @Test
  void readsAllPagesToTheEndOfTheLog() {
    refresh();
    append(JobRecords.accepted(job("j")));
    IntStream.range(0, ITEMS).forEach(this::appendResult);
    refresh();
    assertEquals(ITEMS, find("j").resultCount());
  }

  /**
   * Guards against telling a caller that an accepted job does not exist. The process had begun to
   * load its list before another process accepted the job, the store was slow, and the call about
   * the job was answered from that list.
   */
  @Test
  void readsTheLogAfterAListThatBeganEarlier() {
    store.holdLists();
    CompletableFuture<Void> earlier = replica.refresh().toCompletableFuture();
    append(JobRecords.accepted(job("j")));
    CompletableFuture<Void> later = replica.refresh().toCompletableFuture();
    store.releaseLists();
    time.advance(Duration.ofMillis(1));
    assertTrue(earlier.isDone());
    assertTrue(later.isDone());
    assertTrue(replica.table().find("j").isPresent());
  }

  /**
   * Guards against a result that changes its position. The store lost its history, and the holder
   * loaded the list again. Meanwhile the holder wrote a result that was not in the list yet, and
   * the next result got the same position.
   */
  @Test
  void keepsRecordsWrittenDuringALoad() {
    append(JobRecords.accepted(job("j")));
    refresh();
    store.holdLists();
    store.loseHistoryOnce();
    replica.refresh();
    time.advance(Duration.ofMillis(1));
    KeyedRecord written = result(0);
    append(List.of(written));
    replica.apply(written);
    Job known = find("j");
    store.releaseLists();
    time.advance(Duration.ofMillis(1));
    assertEquals(1, find("j").resultCount());
    assertEquals(1, known.resultCount());
  }

  /**
   * Guards against a deleted job that stays in the memory of a process forever. The job's records
   * were deleted in the part of the history that the store lost.
   */
  @Test
  void removesJobsThatAreNotInANewList() {
    append(JobRecords.accepted(job("j")));
    refresh();
    append(List.of(new KeyedRecord(JobRecords.accepted(job("j")).get(0).key(), null)));
    append(JobRecords.accepted(job("k")));
    store.loseHistoryOnce();
    refresh();
    assertFalse(replica.table().find("j").isPresent());
    assertTrue(replica.table().find("k").isPresent());
  }

  /**
   * Guards against a job that cannot be read at the end of the day. Its partition had more pages
   * than arrive in a row without a failure over a slow link, and each failure restarted the load
   * with the first page.
   */
  @Test
  void continuesALoadAfterTheLastPage() {
    PagedLogStore pages = new PagedLogStore(time.loop(), 1, 2);
    JobReplica slow = new JobReplica(pages, JobReplicas.TOPIC, 0, new LoadLimiter(), time.loop());
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

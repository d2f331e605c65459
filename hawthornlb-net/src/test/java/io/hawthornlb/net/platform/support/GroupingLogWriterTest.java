package io.hawthornlb.net.platform.support;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.net.codec.TypeRegistry;
import io.hawthornlb.net.platform.LogClient;
import io.hawthornlb.net.platform.LogPage;
import io.hawthornlb.net.platform.LogUnavailableException;
import io.hawthornlb.net.platform.RecordNotAppendedException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class GroupingLogWriterTest {

  record Note(int number) implements RecordBody {}

  private static final StreamName STREAM = new StreamName("s");
  private static final WriterSettings SETTINGS =
      new WriterSettings(
          4, 10, 1_000, Duration.ofMillis(2), Duration.ofMillis(20), Duration.ofMinutes(10));

  /** Log whose append calls complete only when the test completes them. */
  private static final class ManualLog implements LogClient {

    final List<CompletableFuture<Long>> calls = new ArrayList<>();
    final List<Integer> groupSizes = new ArrayList<>();

    @Override
    public synchronized CompletionStage<Long> append(StreamName stream, List<byte[]> records) {
      CompletableFuture<Long> call = new CompletableFuture<>();
      calls.add(call);
      groupSizes.add(records.size());
      return call;
    }

    @Override
    public CompletionStage<LogPage> read(StreamName stream, long from, int max, Duration wait) {
      throw new UnsupportedOperationException();
    }

    synchronized int callCount() {
      return calls.size();
    }

    void awaitCalls(int count) {
      await().atMost(Duration.ofSeconds(10)).until(() -> callCount() == count);
    }
  }

  private final ManualLog log = new ManualLog();
  private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
  private volatile Instant now = Instant.EPOCH;
  private final GroupingLogWriter writer =
      new GroupingLogWriter(
          log,
          new RecordCodec(TypeRegistry.<RecordBody>builder().register("note", Note.class).build()),
          timers,
          () -> now,
          new Random(1),
          SETTINGS);

  @AfterEach
  void stop() {
    timers.shutdownNow();
  }

  @Test
  void sendsAllWaitingRecordsInOneCall() throws Exception {
    CompletionStage<Long> first = append(0);
    log.awaitCalls(1);
    CompletionStage<Long> second = append(1);
    CompletionStage<Long> third = append(2);

    log.calls.get(0).complete(7L);
    log.awaitCalls(2);
    log.calls.get(1).complete(8L);

    assertEquals(7, get(first));
    assertEquals(8, get(second));
    assertEquals(9, get(third));
    assertEquals(List.of(1, 2), log.groupSizes);
    assertEquals(2, writer.statistics().calls());
  }

  // Guards against a lost response to the append of an accepted job. Without a resend the caller
  // waits forever; with a resend under a new id the job exists twice.
  @Test
  void resendsSameRecordAfterLostResponse() throws Exception {
    CompletionStage<Long> first = append(0);
    log.awaitCalls(1);

    log.calls.get(0).completeExceptionally(unavailable());
    log.awaitCalls(2);
    log.calls.get(1).complete(3L);

    assertEquals(3, get(first));
    assertEquals(1, writer.statistics().failedCalls());
  }

  // Guards against needless resends. The response is lost and the log is slow, but the follower
  // reads the record from the stream. A writer that waits only for a response would keep resending.
  @Test
  void stopsResendingRecordReadFromStream() throws Exception {
    CompletionStage<Long> first = append(0);
    log.awaitCalls(1);
    writer.seen(STREAM, id(0), 5);
    log.calls.get(0).completeExceptionally(unavailable());
    append(1);
    log.awaitCalls(2);

    assertEquals(5, get(first));
    assertEquals(List.of(1, 1), log.groupSizes);
  }

  // Guards against reordering. If a later record overtook a failed group, it would be folded first,
  // for example the outcome of a job before the job.
  @Test
  void keepsOrderAfterFailedCall() {
    append(0);
    log.awaitCalls(1);
    append(1);
    log.calls.get(0).completeExceptionally(unavailable());
    log.awaitCalls(2);

    assertEquals(List.of(1, 2), log.groupSizes);
  }

  @Test
  void rejectsRecordWhenQueueIsFull() {
    for (int i = 0; i < SETTINGS.streamRecords(); i++) {
      append(i);
    }
    RecordNotAppendedException refused = failure(append(99));

    assertFalse(refused.mayBeInStream());
  }

  @Test
  void reportsThatAbandonedRecordMayBeInStream() {
    CompletionStage<Long> first = append(0);
    log.awaitCalls(1);
    now = now.plus(SETTINGS.giveUpAfter()).plusMillis(1);
    log.calls.get(0).completeExceptionally(unavailable());

    assertTrue(failure(first).mayBeInStream());
    assertEquals(1, writer.statistics().recordsGivenUp());
  }

  @Test
  void sendsSameIdOnce() throws Exception {
    CompletionStage<Long> first = append(0);
    CompletionStage<Long> again = append(0);
    log.awaitCalls(1);
    log.calls.get(0).complete(4L);

    assertEquals(4, get(first));
    assertEquals(4, get(again));
    assertEquals(List.of(1), log.groupSizes);
  }

  @Test
  void countsCallsOfLastWholeSecond() {
    append(0);
    log.awaitCalls(1);
    now = now.plusSeconds(1);
    assertEquals(1, writer.statistics().callsLastSecond());
    now = now.plusSeconds(2);
    assertEquals(0, writer.statistics().callsLastSecond());
  }

  private CompletionStage<Long> append(int number) {
    return writer.append(new AppendRecord(STREAM, id(number), new Note(number)));
  }

  private static RecordId id(int number) {
    return new RecordId(new InstanceId("n-1"), number);
  }

  private static LogUnavailableException unavailable() {
    return new LogUnavailableException("lost", Duration.ofMillis(1), null);
  }

  private static long get(CompletionStage<Long> stage) throws Exception {
    return stage.toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private static RecordNotAppendedException failure(CompletionStage<Long> stage) {
    ExecutionException failure = assertThrows(ExecutionException.class, () -> get(stage));
    return assertInstanceOf(RecordNotAppendedException.class, failure.getCause());
  }
}

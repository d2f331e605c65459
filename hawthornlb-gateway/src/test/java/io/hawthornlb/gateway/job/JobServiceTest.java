package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.StoreException;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class JobServiceTest {

  private static final List<JobItem> ITEMS =
      List.of(new JobItem("i1", "/p", Map.of(), new byte[0]));

  private final VirtualLoop time = new VirtualLoop();
  private final FailingStore store = new FailingStore(time);
  private final JobReplicas replicas = new JobReplicas(store, 1, time.loop());

  /** Log whose failures the test sets, and which counts reads. */
  private static final class FailingStore extends InMemoryLogStore {

    private final Deque<StoreException.Kind> appendFailures = new ArrayDeque<>();
    private int reads;

    private FailingStore(VirtualLoop time) {
      super(time.loop(), 1);
    }

    @Override
    public CompletionStage<Appended> append(AppendCall call) {
      StoreException.Kind failure = appendFailures.poll();
      return failure == null
          ? super.append(call)
          : CompletableFuture.failedFuture(new StoreException(failure, "failed by the test"));
    }

    @Override
    public CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait) {
      reads++;
      return super.read(topic, partition, from, wait);
    }
  }

  /**
   * Guards against telling a caller that its job will not run, although the job runs. The first
   * append got no response but was carried out. The store was unavailable to the second attempt,
   * and this refusal was passed on to the caller.
   */
  @Test
  void respondsWith502AfterAnAppendThatMayHaveBeenCarriedOut() {
    store.appendFailures.add(StoreException.Kind.UNKNOWN);
    store.appendFailures.addAll(Collections.nCopies(100, StoreException.Kind.NOT_DONE));
    RecordingResponder response = handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(3_500));
    assertEquals(502, response.status());
    assertNull(response.retryAfter());
  }

  /**
   * Guards against sending each job to the store once a round trip while the store responds with
   * errors.
   */
  @Test
  void pausesBetweenAppendsThatFail() {
    store.appendFailures.addAll(Collections.nCopies(1_000, StoreException.Kind.UNKNOWN));
    RecordingResponder response = handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(3_500));
    assertEquals(502, response.status());
    int appends = 1_000 - store.appendFailures.size();
    assertTrue(appends <= 17, appends + " appends in 3 s");
  }

  /**
   * Guards against refusing a job although the store is back two seconds later. The gateway refused
   * the job at once, the caller retried while the store was still unavailable, and that was the
   * caller's last attempt.
   */
  @Test
  void acceptsAJobOnceAShortOutageEnds() {
    store.appendFailures.addAll(Collections.nCopies(9, StoreException.Kind.NOT_DONE));
    RecordingResponder response = handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(2_100));
    assertEquals(202, response.status());
  }

  @Test
  void sendsARetryDelayAfterAnAppendThatWasNotCarriedOut() {
    store.appendFailures.addAll(Collections.nCopies(100, StoreException.Kind.NOT_DONE));
    RecordingResponder response = handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(3_300));
    assertEquals(503, response.status());
    assertNotNull(response.retryAfter());
  }

  /**
   * Guards against waits for results that make twice the calls to the store that they need. Each
   * wait that ended without a result was followed by a second read, although the first had reached
   * the end of the log.
   */
  @Test
  void readsOnceForAWaitThatEndsWithoutAResult() {
    handle(new JobCall.Submit("j", ITEMS));
    handle(new JobCall.Read("j", 0, Duration.ZERO));
    time.advance(Duration.ofMillis(5));
    store.reads = 0;
    RecordingResponder response = handle(new JobCall.Read("j", 0, Duration.ofSeconds(1)));
    time.advance(Duration.ofMillis(1_100));
    assertEquals(200, response.status());
    assertEquals(1, store.reads);
  }

  /**
   * Guards against telling a caller that its accepted job does not exist. Another writer had
   * destroyed the job's record, and a process that loaded the log afterwards knew nothing else of
   * the job. Once the caller submits the job again, the job runs.
   */
  @Test
  void respondsWith503ForAJobWhoseRecordCannotBeDecoded() {
    LogStore.KeyedRecord foreign = new LogStore.KeyedRecord("a/j/0", new byte[] {(byte) 0xff});
    store.append(new LogStore.AppendCall(JobReplicas.TOPIC, 0, List.of(foreign), null));
    RecordingResponder damaged = handle(new JobCall.Read("j", 0, Duration.ZERO));
    RecordingResponder unknown = handle(new JobCall.Read("k", 0, Duration.ZERO));
    time.advance(Duration.ofMillis(10));
    assertEquals(503, damaged.status());
    assertEquals(404, unknown.status());
    RecordingResponder resubmitted = handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(10));
    assertEquals(202, resubmitted.status());
    RecordingResponder found = handle(new JobCall.Read("j", 0, Duration.ZERO));
    time.advance(Duration.ofMillis(10));
    assertEquals(200, found.status());
  }

  /** Guards against the body of an item of a job whose end the same process has acknowledged. */
  @Test
  void returnsNoBodyOnceItHasAcknowledgedTheEnd() {
    handle(new JobCall.Submit("j", ITEMS));
    RecordingResponder running = handle(new JobCall.ReadBody("j", "i1"));
    time.advance(Duration.ofMillis(10));
    assertEquals(200, running.status());
    RecordingResponder end = handle(new JobCall.End("j"));
    time.advance(Duration.ofMillis(10));
    assertEquals(200, end.status());
    RecordingResponder ended = handle(new JobCall.ReadBody("j", "i1"));
    time.advance(Duration.ofMillis(10));
    assertEquals(404, ended.status());
  }

  @Test
  void waitsForAResultThatArrivesInTime() {
    handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(5));
    RecordingResponder response = handle(new JobCall.Read("j", 0, Duration.ofSeconds(1)));
    time.advance(Duration.ofMillis(300));
    assertEquals(0, response.status());
    List<LogStore.KeyedRecord> results =
        List.of(JobRecords.result("j", 0, new JobResult("i1", true, "text")));
    store.append(new LogStore.AppendCall(JobReplicas.TOPIC, 0, results, null));
    time.advance(Duration.ofMillis(20));
    assertEquals(200, response.status());
    assertEquals("1 of 1 from 0", response.text());
  }

  /**
   * Guards against waits for results that make one call to the store for each caller, again and
   * again, since each record of the partition ended the reads of all callers. The holder reads the
   * log continuously anyway.
   */
  @Test
  void waitsForTheReadsOfTheHolder() {
    handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(5));
    readContinuously();
    time.advance(Duration.ofMillis(5));
    store.reads = 0;
    List<RecordingResponder> responses =
        IntStream.range(0, 20)
            .mapToObj(any -> handle(new JobCall.Read("j", 0, Duration.ofSeconds(1))))
            .toList();
    time.advance(Duration.ofMillis(1_100));
    responses.forEach(response -> assertEquals("0 of 1 from 0", response.text()));
    assertTrue(store.reads <= 4, store.reads + " reads");
  }

  /**
   * Guards against a result that a caller has read and that is missing at the next read. That read
   * went to a holder that another process had replaced, and a read of the log that had begun before
   * the call answered it.
   */
  @Test
  void respondsWithoutAResultOnlyAfterAReadThatBeganLater() {
    handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(5));
    readContinuously();
    time.advance(Duration.ofMillis(5));
    RecordingResponder response = handle(new JobCall.Read("j", 0, Duration.ofMillis(100)));
    store.append(
        new LogStore.AppendCall(
            JobReplicas.TOPIC,
            0,
            List.of(JobRecords.result("j", 0, new JobResult("i1", true, "text"))),
            null));
    time.advance(Duration.ofMillis(120));
    assertEquals("1 of 1 from 0", response.text());
  }

  private void readContinuously() {
    JobReplica replica = replicas.replica(0);
    replica.followed(true);
    replica.read(Duration.ofMillis(450)).thenRun(this::readContinuously);
  }

  private RecordingResponder handle(JobCall call) {
    JobService service =
        new JobService(
            replicas, store, new FixedJobFormat(call), time.loop(), time, new RecordingEventLog());
    RecordingResponder responder = new RecordingResponder();
    FrontRequest request =
        new FrontRequest(
            HttpMethod.GET, "/", "/", "h", new DefaultHttpHeaders(), new byte[0], time.instant());
    service.answer(call, request, responder);
    return responder;
  }
}

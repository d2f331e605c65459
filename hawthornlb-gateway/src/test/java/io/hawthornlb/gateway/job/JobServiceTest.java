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

  /** Log that fails as the test says, and counts reads. */
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
          : CompletableFuture.failedFuture(new StoreException(failure, "as told"));
    }

    @Override
    public CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait) {
      reads++;
      return super.read(topic, partition, from, wait);
    }
  }

  /**
   * A caller is told that its reports will not run, and they run. The first append got no answer
   * but was carried out; the second try was refused by a store that had gone away, and its refusal
   * was passed on.
   */
  @Test
  void makesNoPromiseAfterAnAppendThatMayHaveHappened() {
    store.appendFailures.add(StoreException.Kind.UNKNOWN);
    store.appendFailures.addAll(Collections.nCopies(100, StoreException.Kind.NOT_DONE));
    RecordingResponder answer = handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(3_500));
    assertEquals(502, answer.status());
    assertNull(answer.retryAfter());
  }

  /** Guards against a store that answers errors and gets each job once a round trip. */
  @Test
  void pausesBetweenAppendsThatAreAnsweredByErrors() {
    store.appendFailures.addAll(Collections.nCopies(1_000, StoreException.Kind.UNKNOWN));
    RecordingResponder answer = handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(3_500));
    assertEquals(502, answer.status());
    int appends = 1_000 - store.appendFailures.size();
    assertTrue(appends <= 17, appends + " appends in 3 s");
  }

  /**
   * A buyer's reports are refused although the store is back two seconds later. The gateway refused
   * them at once, the caller came back while the store was still away, and that was its last try.
   */
  @Test
  void acceptsAJobOnceAShortOutageEnds() {
    store.appendFailures.addAll(Collections.nCopies(9, StoreException.Kind.NOT_DONE));
    RecordingResponder answer = handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(2_100));
    assertEquals(202, answer.status());
  }

  @Test
  void saysWhenToComeBackAfterAnAppendThatDidNotHappen() {
    store.appendFailures.addAll(Collections.nCopies(100, StoreException.Kind.NOT_DONE));
    RecordingResponder answer = handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(3_300));
    assertEquals(503, answer.status());
    assertNotNull(answer.retryAfter());
  }

  /**
   * Callers that wait for results cost the store twice the calls that they need: each wait that
   * ended without one was followed by a second read, although the first had reached the end.
   */
  @Test
  void readsOnceForAWaitThatEndsWithoutAResult() {
    handle(new JobCall.Submit("j", ITEMS));
    handle(new JobCall.Read("j", 0, Duration.ZERO));
    time.advance(Duration.ofMillis(5));
    store.reads = 0;
    RecordingResponder answer = handle(new JobCall.Read("j", 0, Duration.ofSeconds(1)));
    time.advance(Duration.ofMillis(1_100));
    assertEquals(200, answer.status());
    assertEquals(1, store.reads);
  }

  /**
   * A caller hears that its job, which was accepted, does not exist: another writer had destroyed
   * the job's record, and a process that read the log anew knew nothing else of it. Once the caller
   * sends the job again it runs.
   */
  @Test
  void doesNotSayThatAJobIsUnknownWhoseRecordCannotBeRead() {
    LogStore.KeyedRecord foreign = new LogStore.KeyedRecord("a/j/0", new byte[] {(byte) 0xff});
    store.append(new LogStore.AppendCall(JobReplicas.TOPIC, 0, List.of(foreign), null));
    RecordingResponder lost = handle(new JobCall.Read("j", 0, Duration.ZERO));
    RecordingResponder unknown = handle(new JobCall.Read("k", 0, Duration.ZERO));
    time.advance(Duration.ofMillis(10));
    assertEquals(503, lost.status());
    assertEquals(404, unknown.status());
    RecordingResponder again = handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(10));
    assertEquals(202, again.status());
    RecordingResponder found = handle(new JobCall.Read("j", 0, Duration.ZERO));
    time.advance(Duration.ofMillis(10));
    assertEquals(200, found.status());
  }

  @Test
  void waitsForAResultThatComesInTime() {
    handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(5));
    RecordingResponder answer = handle(new JobCall.Read("j", 0, Duration.ofSeconds(1)));
    time.advance(Duration.ofMillis(300));
    assertEquals(0, answer.status());
    List<LogStore.KeyedRecord> results =
        List.of(JobRecords.result("j", 0, new JobResult("i1", true, "text")));
    store.append(new LogStore.AppendCall(JobReplicas.TOPIC, 0, results, null));
    time.advance(Duration.ofMillis(20));
    assertEquals(200, answer.status());
    assertEquals("1 of 1 from 0", answer.text());
  }

  /**
   * Callers that wait for results cost the store a call each, again and again: each record of the
   * partition ended the reads of all of them. The holder reads on anyway.
   */
  @Test
  void waitsWithTheReadsOfTheHolder() {
    handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(5));
    followForever();
    time.advance(Duration.ofMillis(5));
    store.reads = 0;
    List<RecordingResponder> answers =
        IntStream.range(0, 20)
            .mapToObj(any -> handle(new JobCall.Read("j", 0, Duration.ofSeconds(1))))
            .toList();
    time.advance(Duration.ofMillis(1_100));
    answers.forEach(answer -> assertEquals("0 of 1 from 0", answer.text()));
    assertTrue(store.reads <= 4, store.reads + " reads");
  }

  /**
   * A result that was read is gone at the next read. That read had come to a holder which another
   * one had replaced, and was answered by a read of the log that had begun before it.
   */
  @Test
  void saysThatThereIsNothingOnlyAfterAReadThatBeganLater() {
    handle(new JobCall.Submit("j", ITEMS));
    time.advance(Duration.ofMillis(5));
    followForever();
    time.advance(Duration.ofMillis(5));
    RecordingResponder answer = handle(new JobCall.Read("j", 0, Duration.ofMillis(100)));
    store.append(
        new LogStore.AppendCall(
            JobReplicas.TOPIC,
            0,
            List.of(JobRecords.result("j", 0, new JobResult("i1", true, "text"))),
            null));
    time.advance(Duration.ofMillis(120));
    assertEquals("1 of 1 from 0", answer.text());
  }

  private void followForever() {
    JobReplica replica = replicas.replica(0);
    replica.followed(true);
    replica.read(Duration.ofMillis(450)).thenRun(this::followForever);
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

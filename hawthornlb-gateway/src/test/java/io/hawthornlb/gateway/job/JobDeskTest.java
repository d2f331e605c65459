package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.http.HttpCallException;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.StoreException;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

class JobDeskTest {

  private static final JobCall READ = new JobCall.Read("j", 0, Duration.ZERO);
  private static final HttpReply PAGE = new HttpReply(200, "page".getBytes());

  private final VirtualLoop time = new VirtualLoop();
  private final RefusingStore store = new RefusingStore(time);
  private final JobReplicas replicas = new JobReplicas(store, 1, time.loop());
  private final ScriptedJobPeers peers = new ScriptedJobPeers("g1");
  private final Map<Integer, String> owners = new HashMap<>();
  private int questions;

  @Test
  void hasTheHolderAnswer() {
    owners.put(0, "g7");
    peers.answers("g7", PAGE);
    RecordingResponder answer = handle(desk(READ));
    assertEquals("page", answer.text());
    assertEquals(List.of("g7"), peers.asked());
  }

  /**
   * All jobs of a large fleet cannot be read for a minute after a power cut: while no process held
   * a partition yet, each one that was asked loaded all of it, and the holders had to wait for the
   * store behind them.
   */
  @Test
  void loadsNothingWhileNobodyHoldsThePartition() {
    RecordingResponder answer = handle(desk(READ));
    assertEquals(0, answer.status());
    time.advance(Duration.ofMillis(1_400));
    assertEquals(503, answer.status());
    assertNotNull(answer.retryAfter());
    assertEquals(List.of(), peers.asked());
    assertEquals(0, replicas.replica(0).readsBegun());
  }

  /** Reads right after a start are refused although a process joins within half a second. */
  @Test
  void waitsForTheNextHolder() {
    RecordingResponder answer = handle(desk(READ));
    owners.put(0, "g7");
    peers.answers("g7", PAGE);
    time.advance(Duration.ofMillis(700));
    assertEquals("page", answer.text());
  }

  /**
   * A job cannot be read while its holder is frozen: callers are told to come back until it wakes.
   */
  @Test
  void turnsToTheDeputyOfASilentHolder() {
    owners.put(0, "g7");
    peers.setDeputy("g3");
    peers.answers("g3", PAGE);
    RecordingResponder answer = handle(desk(READ));
    assertEquals("page", answer.text());
    assertEquals(List.of("g7", "g3"), peers.asked());
  }

  @Test
  void answersItselfWhenItReachesNobodyElse() {
    owners.put(0, "g7");
    peers.setDeputy("g3");
    store.append(new AppendCall(JobReplicas.TOPIC, 0, JobRecords.accepted(job()), null));
    RecordingResponder answer = handle(desk(READ));
    assertEquals("0 of 1 from 0", answer.text());
    assertEquals(List.of("g7", "g3"), peers.asked());
  }

  /** A job is answered by whoever held it before, and each call to that one ends in vain. */
  @Test
  void believesTheLaterHolder() {
    JobDesk desk = desk(READ);
    desk.held("g7", 0, 20);
    desk.held("g5", 0, 10);
    peers.answers("g7", PAGE);
    assertEquals("page", handle(desk).text());
    assertEquals(0, questions);
  }

  @Test
  void asksTheStoreForHoldersOnceForManyCalls() {
    JobDesk desk = desk(READ);
    owners.put(0, "g7");
    peers.answers("g7", PAGE);
    for (int i = 0; i < 5; i++) {
      handle(desk);
    }
    assertEquals(1, questions);
  }

  /**
   * Reports cost a small site four times what they should: each text went from its holder to an
   * instance in another data centre, for each instance at which it was read.
   */
  @Test
  void readsASmallPartitionItselfOnceItsSizeIsKnown() {
    JobDesk desk = desk(READ);
    owners.put(0, "g7");
    peers.answers("g7", sized(400_000));
    store.append(new AppendCall(JobReplicas.TOPIC, 0, JobRecords.accepted(job()), null));
    assertEquals("page", handle(desk).text());
    assertEquals("0 of 1 from 0", handle(desk).text());
    assertEquals(List.of("g7"), peers.asked());
  }

  @Test
  void keepsAskingAboutALargePartition() {
    JobDesk desk = desk(READ);
    owners.put(0, "g7");
    peers.answers("g7", sized(4_000_000));
    handle(desk);
    handle(desk);
    assertEquals(List.of("g7", "g7"), peers.asked());
  }

  /** A process keeps every partition that it ever held, until its memory is full. */
  @Test
  void forgetsALargePartitionThatItHoldsNoLonger() {
    JobDesk desk = desk(READ);
    List<JobItem> items =
        List.of(new JobItem("i1", "/p", Map.of(), new byte[JobRecords.PART_BYTES * 3]));
    Job large = new Job("j", "h", Instant.EPOCH, items);
    store.append(new AppendCall(JobReplicas.TOPIC, 0, JobRecords.accepted(large), null));
    replicas.replica(0).refresh();
    time.advance(Duration.ofMillis(1));
    assertTrue(replicas.bytes(0) > 0);
    desk.released(0);
    assertEquals(0, replicas.bytes(0));
  }

  private static HttpReply sized(long bytes) {
    return new HttpReply(
        200, Map.of(JobDesk.PARTITION_BYTES, String.valueOf(bytes)), "page".getBytes());
  }

  /** Jobs are lost with a holder: a caller's job is taken only while its holder answers. */
  @Test
  void takesJobsItself() {
    RecordingResponder answer = handle(desk(new JobCall.Submit("j", job().items())));
    assertEquals(202, answer.status());
    assertEquals(List.of(), peers.asked());
  }

  /**
   * A caller hears that its job was not ended, and it was: the holder that had ended it fell
   * silent.
   */
  @Test
  void promisesNothingOfAnEndThatASilentHolderMayHaveMade() {
    owners.put(0, "g7");
    store.append(new AppendCall(JobReplicas.TOPIC, 0, JobRecords.accepted(job()), null));
    store.refuse();
    RecordingResponder answer = handle(desk(new JobCall.End("j")));
    time.advance(Duration.ofMillis(3_500));
    assertEquals(502, answer.status());
    assertNull(answer.retryAfter());
  }

  /** The same where the deputy, which was asked next, refuses. */
  @Test
  void passesOnNoPromiseOfADeputyBehindASilentHolder() {
    owners.put(0, "g7");
    peers.setDeputy("g3");
    peers.answers("g3", new HttpReply(503, Map.of("Retry-After", "0.40"), new byte[0]));
    RecordingResponder answer = handle(desk(new JobCall.End("j")));
    assertEquals(502, answer.status());
  }

  @Test
  void saysThatAnEndWasNotMadeIfTheHolderWasNotReached() {
    owners.put(0, "g7");
    peers.fails("g7", new HttpCallException("no link", true));
    store.append(new AppendCall(JobReplicas.TOPIC, 0, JobRecords.accepted(job()), null));
    store.refuse();
    RecordingResponder answer = handle(desk(new JobCall.End("j")));
    time.advance(Duration.ofMillis(3_500));
    assertEquals(503, answer.status());
  }

  /** Log that refuses appends once it is told to. */
  private static final class RefusingStore extends InMemoryLogStore {

    private boolean refuses;

    private RefusingStore(VirtualLoop time) {
      super(time.loop(), 1);
    }

    private void refuse() {
      refuses = true;
    }

    @Override
    public CompletionStage<Appended> append(AppendCall call) {
      return refuses
          ? CompletableFuture.failedFuture(
              new StoreException(StoreException.Kind.NOT_DONE, "as told"))
          : super.append(call);
    }
  }

  private static Job job() {
    return new Job(
        "j", "h", Instant.EPOCH, List.of(new JobItem("i1", "/p", Map.of(), new byte[0])));
  }

  private JobDesk desk(JobCall call) {
    FixedJobFormat format = new FixedJobFormat(call);
    return new JobDesk(
        replicas,
        new JobService(replicas, store, format, time.loop(), time, new RecordingEventLog()),
        format,
        peers,
        partition -> false,
        () -> {
          questions++;
          return CompletableFuture.completedFuture(owners);
        },
        time.loop(),
        time,
        new RecordingEventLog());
  }

  private RecordingResponder handle(JobDesk desk) {
    RecordingResponder responder = new RecordingResponder();
    FrontRequest request =
        new FrontRequest(
            HttpMethod.GET, "/", "/", "h", new DefaultHttpHeaders(), new byte[0], time.instant());
    desk.handle(request, responder);
    time.advance(Duration.ofMillis(5));
    return responder;
  }
}

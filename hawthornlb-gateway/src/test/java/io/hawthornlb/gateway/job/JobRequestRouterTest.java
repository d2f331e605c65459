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

class JobRequestRouterTest {

  private static final JobCall READ = new JobCall.Read("j", 0, Duration.ZERO);
  private static final HttpReply PAGE = new HttpReply(200, "page".getBytes());

  private final VirtualLoop time = new VirtualLoop();
  private final RefusingStore store = new RefusingStore(time);
  private final JobReplicas replicas = new JobReplicas(store, 1, time.loop());
  private final ScriptedJobPeers peers = new ScriptedJobPeers("g1");
  private final Map<Integer, String> holders = new HashMap<>();
  private int lookups;

  @Test
  void forwardsToTheHolder() {
    holders.put(0, "g7");
    peers.reply("g7", PAGE);
    RecordingResponder response = handle(router(READ));
    assertEquals("page", response.text());
    assertEquals(List.of("g7"), peers.calledPeers());
  }

  /**
   * Guards against processes that load a partition while no process holds it. After a power cut
   * each instance that a caller asked loaded the whole partition, the holders had to wait for the
   * store behind them, and no job of a large fleet could be read for a minute.
   */
  @Test
  void loadsNothingWhileThePartitionHasNoHolder() {
    RecordingResponder response = handle(router(READ));
    assertEquals(0, response.status());
    time.advance(Duration.ofMillis(1_400));
    assertEquals(503, response.status());
    assertNotNull(response.retryAfter());
    assertEquals(List.of(), peers.calledPeers());
    assertEquals(0, replicas.replica(0).readsBegun());
  }

  /**
   * Guards against refusing reads right after a start, although a process joins the group within
   * half a second.
   */
  @Test
  void waitsForTheNextHolder() {
    RecordingResponder response = handle(router(READ));
    holders.put(0, "g7");
    peers.reply("g7", PAGE);
    time.advance(Duration.ofMillis(700));
    assertEquals("page", response.text());
  }

  /**
   * Guards against jobs that cannot be read while their holder is frozen, because callers are told
   * to retry until the holder wakes up.
   */
  @Test
  void forwardsToTheStandbyOfASilentHolder() {
    holders.put(0, "g7");
    peers.setStandby("g3");
    peers.reply("g3", PAGE);
    RecordingResponder response = handle(router(READ));
    assertEquals("page", response.text());
    assertEquals(List.of("g7", "g3"), peers.calledPeers());
  }

  @Test
  void answersLocallyWhenNoOtherProcessReplies() {
    holders.put(0, "g7");
    peers.setStandby("g3");
    store.append(new AppendCall(JobReplicas.TOPIC, 0, JobRecords.accepted(job()), null));
    RecordingResponder response = handle(router(READ));
    assertEquals("0 of 1 from 0", response.text());
    assertEquals(List.of("g7", "g3"), peers.calledPeers());
  }

  /** Guards against forwarding every call to a former holder, where each of them fails. */
  @Test
  void forwardsToTheHolderWithTheHigherEpoch() {
    JobRequestRouter router = router(READ);
    router.onHeld("g7", 0, 20);
    router.onHeld("g5", 0, 10);
    peers.reply("g7", PAGE);
    assertEquals("page", handle(router).text());
    assertEquals(0, lookups);
  }

  @Test
  void looksUpHoldersOnceForManyCalls() {
    JobRequestRouter router = router(READ);
    holders.put(0, "g7");
    peers.reply("g7", PAGE);
    for (int i = 0; i < 5; i++) {
      handle(router);
    }
    assertEquals(1, lookups);
  }

  /**
   * Guards against sending each text from its holder across data centres once for every instance at
   * which it is read. This made jobs of a small site four times as expensive as they should be.
   */
  @Test
  void readsASmallPartitionLocallyOnceItsSizeIsKnown() {
    JobRequestRouter router = router(READ);
    holders.put(0, "g7");
    peers.reply("g7", sized(400_000));
    store.append(new AppendCall(JobReplicas.TOPIC, 0, JobRecords.accepted(job()), null));
    assertEquals("page", handle(router).text());
    assertEquals("0 of 1 from 0", handle(router).text());
    assertEquals(List.of("g7"), peers.calledPeers());
  }

  @Test
  void keepsForwardingCallsAboutALargePartition() {
    JobRequestRouter router = router(READ);
    holders.put(0, "g7");
    peers.reply("g7", sized(4_000_000));
    handle(router);
    handle(router);
    assertEquals(List.of("g7", "g7"), peers.calledPeers());
  }

  /** Guards against a process that keeps every partition it ever held until its memory is full. */
  @Test
  void discardsALargePartitionThatItNoLongerHolds() {
    JobRequestRouter router = router(READ);
    List<JobItem> items =
        List.of(new JobItem("i1", "/p", Map.of(), new byte[JobRecords.PART_BYTES * 3]));
    Job large = new Job("j", "h", Instant.EPOCH, items);
    store.append(new AppendCall(JobReplicas.TOPIC, 0, JobRecords.accepted(large), null));
    replicas.replica(0).refresh();
    time.advance(Duration.ofMillis(1));
    assertTrue(replicas.bytes(0) > 0);
    router.released(0);
    assertEquals(0, replicas.bytes(0));
  }

  private static HttpReply sized(long bytes) {
    return new HttpReply(
        200, Map.of(JobRequestRouter.PARTITION_BYTES, String.valueOf(bytes)), "page".getBytes());
  }

  /**
   * Guards against a job that is accepted only while its holder responds, and is lost with the
   * holder.
   */
  @Test
  void acceptsJobsLocally() {
    RecordingResponder response = handle(router(new JobCall.Submit("j", job().items())));
    assertEquals(202, response.status());
    assertEquals(List.of(), peers.calledPeers());
  }

  /**
   * Guards against telling a caller that its job was not ended, although a holder ended the job and
   * then stopped responding.
   */
  @Test
  void respondsWith502IfASilentHolderMayHaveEndedTheJob() {
    holders.put(0, "g7");
    store.append(new AppendCall(JobReplicas.TOPIC, 0, JobRecords.accepted(job()), null));
    store.refuse();
    RecordingResponder response = handle(router(new JobCall.End("j")));
    time.advance(Duration.ofMillis(3_500));
    assertEquals(502, response.status());
    assertNull(response.retryAfter());
  }

  /**
   * Guards against telling a caller that its job was not ended, although a silent holder may have
   * ended it, because the standby refuses the forwarded call.
   */
  @Test
  void replacesARefusalOfTheStandbyAfterASilentHolder() {
    holders.put(0, "g7");
    peers.setStandby("g3");
    peers.reply("g3", new HttpReply(503, Map.of("Retry-After", "0.40"), new byte[0]));
    RecordingResponder response = handle(router(new JobCall.End("j")));
    assertEquals(502, response.status());
  }

  @Test
  void respondsWith503IfTheHolderWasNotReached() {
    holders.put(0, "g7");
    peers.fail("g7", new HttpCallException("no link", true));
    store.append(new AppendCall(JobReplicas.TOPIC, 0, JobRecords.accepted(job()), null));
    store.refuse();
    RecordingResponder response = handle(router(new JobCall.End("j")));
    time.advance(Duration.ofMillis(3_500));
    assertEquals(503, response.status());
  }

  /** Log that refuses appends after a call of {@link #refuse()}. */
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
              new StoreException(StoreException.Kind.NOT_DONE, "refused by the test"))
          : super.append(call);
    }
  }

  private static Job job() {
    return new Job(
        "j", "h", Instant.EPOCH, List.of(new JobItem("i1", "/p", Map.of(), new byte[0])));
  }

  private JobRequestRouter router(JobCall call) {
    FixedJobFormat format = new FixedJobFormat(call);
    return new JobRequestRouter(
        replicas,
        new JobService(replicas, store, format, time.loop(), time, new RecordingEventLog()),
        format,
        peers,
        partition -> false,
        () -> {
          lookups++;
          return CompletableFuture.completedFuture(holders);
        },
        time.loop(),
        time,
        new RecordingEventLog());
  }

  private RecordingResponder handle(JobRequestRouter router) {
    RecordingResponder responder = new RecordingResponder();
    FrontRequest request =
        new FrontRequest(
            HttpMethod.GET, "/", "/", "h", new DefaultHttpHeaders(), new byte[0], time.instant());
    router.handle(request, responder);
    time.advance(Duration.ofMillis(5));
    return responder;
  }
}

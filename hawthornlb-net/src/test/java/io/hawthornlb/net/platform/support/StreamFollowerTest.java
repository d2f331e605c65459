package io.hawthornlb.net.platform.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.net.platform.MissedRecordSource;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StreamFollowerTest {

  private static final StreamName STREAM = new StreamName("s");
  private static final PlatformTimeouts TIMEOUTS =
      new PlatformTimeouts(Duration.ofSeconds(1), Duration.ofMillis(500), Duration.ofMillis(200));
  private static final FollowerSettings SETTINGS =
      new FollowerSettings(
          3,
          Duration.ofMillis(200),
          Duration.ofMillis(1),
          Duration.ofMillis(5),
          Duration.ofMillis(50));

  private final ExecutorService foldThread = Executors.newSingleThreadExecutor();
  private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
  private final NoteFold fold = new NoteFold();
  private final RecentRecords recent = new RecentRecords(100, 1 << 20);
  private FakePlatform platform;
  private HttpPlatformLogClient client;
  private StreamFollower follower;
  private int sequence;

  @BeforeEach
  void start() throws IOException {
    platform = new FakePlatform();
    client = new HttpPlatformLogClient(platform.uri(), TIMEOUTS);
    follower = follower(fold, recent, MissedRecordSource.NONE);
  }

  @AfterEach
  void stop() {
    follower.close();
    timers.shutdownNow();
    foldThread.shutdownNow();
    client.close();
    platform.close();
  }

  @Test
  void followsSeveralPagesAndLaterAppends() throws Exception {
    appendNotes(0, 10);
    follower.start();
    awaitNumbers(fold, range(0, 10));

    appendNotes(10, 12);

    awaitNumbers(fold, range(0, 12));
    awaitUpToDate(follower);
  }

  // Guards against a follower that stops reading after an outage of the platform. Its entry
  // instance would continue with an old catalogue without reporting it.
  @Test
  void resumesAfterOutageAndReportsStaleness() throws Exception {
    appendNotes(0, 2);
    follower.start();
    awaitNumbers(fold, range(0, 2));
    awaitUpToDate(follower);
    platform.down = true;
    Awaitility.await().until(() -> isStale(follower));

    platform.down = false;
    appendNotes(2, 4);

    awaitNumbers(fold, range(0, 4));
  }

  // Guards against misleading logs in an outage. A handled read failure used to be passed on to the
  // stage that reports unhandled ones. Every entry instance then logged "stopped following"
  // although all still followed, and an operator restarted the fleet while the platform was
  // unavailable.
  @Test
  void outageIsNotLoggedAsStop() throws Exception {
    List<String> messages = new CopyOnWriteArrayList<>();
    Logger logger = Logger.getLogger(StreamFollower.class.getName());
    Handler handler = new MessageCollector(messages);
    logger.addHandler(handler);
    try {
      appendNotes(0, 2);
      follower.start();
      awaitNumbers(fold, range(0, 2));
      awaitUpToDate(follower);
      platform.down = true;
      Awaitility.await().until(() -> isStale(follower));
      platform.down = false;
      appendNotes(2, 4);
      awaitNumbers(fold, range(0, 4));
    } finally {
      logger.removeHandler(handler);
    }

    assertTrue(messages.stream().noneMatch(m -> m.contains("stopped following")), "" + messages);
  }

  @Test
  void abandonsUnresponsiveConnection() throws Exception {
    appendNotes(0, 2);
    follower.start();
    awaitNumbers(fold, range(0, 2));
    platform.stallOpenConnections();
    try (HttpPlatformLogClient other = new HttpPlatformLogClient(platform.uri(), TIMEOUTS)) {
      append(other, new NoteFold.Note(2));
    }

    awaitNumbers(fold, range(0, 3));
  }

  // Guards against an incomplete state when an entry instance boots after the first records have
  // expired. The instance must not treat the retained records as the whole stream. It must start
  // from the snapshot and apply the records after the last offset that the snapshot covers.
  @Test
  void startsFromSnapshotWhenFirstRecordsHaveExpired() throws Exception {
    appendNotes(0, 5);
    append(client, new NoteFold.NoteSnapshot(1, 4, 0, 1, List.of(), range(0, 4)));
    appendNotes(5, 7);
    platform.firstRetained = 3;

    follower.start();

    awaitNumbers(fold, range(0, 7));
    awaitUpToDate(follower);
  }

  @Test
  void hidesStateWhileRecordsAreMissing() throws Exception {
    appendNotes(0, 5);
    platform.firstRetained = 3;
    follower.start();
    Awaitility.await().until(() -> recent.from(0, 10).nextOffset() == 5);

    assertEquals(List.of(), fold.numbers());
    assertTrue(follower.freshAsOf().isEmpty());
  }

  // Guards against data centres that decide differently. While the platform is unavailable, one
  // data centre has read records that another has not. The second gets these records from a peer.
  @Test
  void readsMissingRecordsFromPeerWhilePlatformIsDown() throws Exception {
    appendNotes(0, 8);
    RecentRecords peerRecords = readByPeer(8);
    NoteFold behind = new NoteFold();
    platform.down = true;

    try (StreamFollower second = follower(behind, recent, source(peerRecords))) {
      second.start();
      awaitNumbers(behind, range(0, 8));
      assertFalse(second.freshAsOf().isPresent());
    }
  }

  // Guards against a state that stays incomplete. A peer has only the end of the stream and no
  // snapshot. An entry instance that boots from this peer while the platform is unavailable must
  // read the earlier records once the platform is available again.
  @Test
  void readsEarlierRecordsOncePlatformRecovers() throws Exception {
    appendNotes(0, 8);
    RecentRecords end = new RecentRecords(2, 1 << 20);
    readByPeer(8).from(0, 100).records().forEach(end::add);
    NoteFold booting = new NoteFold();
    platform.down = true;
    RecentRecords own = new RecentRecords(100, 1 << 20);

    try (StreamFollower second = follower(booting, own, source(end))) {
      second.start();
      Awaitility.await().until(() -> own.from(0, 10).nextOffset() == 8);
      assertEquals(List.of(), booting.numbers());
      platform.down = false;
      awaitNumbers(booting, range(0, 8));
      awaitUpToDate(second);
    }
  }

  // Guards against a single record that stops every instance, because no version can read it or
  // because the fold fails to apply it.
  @Test
  void skipsRecordsThatCannotBeApplied() throws Exception {
    appendNotes(0, 1);
    client.append(STREAM, List.of(new byte[] {1, 2, 3})).toCompletableFuture().get();
    append(client, new NoteFold.Note(-1));
    appendNotes(1, 3);

    follower.start();

    awaitNumbers(fold, range(0, 3));
  }

  private RecentRecords readByPeer(int nextOffset) {
    RecentRecords records = new RecentRecords(100, 1 << 20);
    try (StreamFollower peer = follower(new NoteFold(), records, MissedRecordSource.NONE)) {
      peer.start();
      Awaitility.await().until(() -> records.from(0, 100).nextOffset() == nextOffset);
    }
    return records;
  }

  private StreamFollower follower(NoteFold into, RecentRecords keep, MissedRecordSource missed) {
    return StreamFollower.builder(STREAM, into, client, NoteFold.CODEC)
        .executors(foldThread, timers)
        .settings(SETTINGS)
        .random(new Random(1))
        .recent(keep)
        .missed(missed)
        .build();
  }

  private static MissedRecordSource source(RecentRecords records) {
    return (stream, from, max) -> CompletableFuture.completedFuture(records.from(from, max));
  }

  private void appendNotes(int from, int to) throws Exception {
    for (int number = from; number < to; number++) {
      append(client, new NoteFold.Note(number));
    }
  }

  private void append(HttpPlatformLogClient log, RecordBody body) throws Exception {
    RecordId id = new RecordId(new InstanceId("n"), sequence++);
    byte[] data = NoteFold.CODEC.encode(new AppendRecord(STREAM, id, body));
    log.append(STREAM, List.of(data)).toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private static boolean isStale(StreamFollower follower) {
    return follower
        .freshAsOf()
        .orElseThrow()
        .isBefore(InstantSource.system().instant().minusMillis(400));
  }

  private static void awaitUpToDate(StreamFollower follower) {
    Awaitility.await().until(() -> follower.freshAsOf().isPresent());
  }

  private static void awaitNumbers(NoteFold fold, List<Integer> expected) {
    Awaitility.await().until(() -> fold.numbers().equals(expected));
  }

  private static List<Integer> range(int from, int to) {
    return IntStream.range(from, to).boxed().toList();
  }

  private static final class MessageCollector extends Handler {

    private final List<String> messages;

    private MessageCollector(List<String> messages) {
      this.messages = messages;
    }

    @Override
    public void publish(LogRecord event) {
      messages.add(event.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}

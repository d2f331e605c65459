package io.hawthornlb.gateway.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class KeyedFollowerTest {

  private static final Duration CHANGE_TIME = Duration.ofSeconds(2);

  private static final Duration PROMPT_WAIT = KeyedFollower.waitWithin(CHANGE_TIME);

  /** Pause after a read that returned records, in which further records may arrive. */
  private static final Duration BATCH_PAUSE = Duration.ofMillis(200);

  private static final String TOPIC = "t";

  private final VirtualLoop time = new VirtualLoop();
  private final FaultyStore store = new FaultyStore(time);
  private final RecordingEventLog log = new RecordingEventLog();
  private final RecordingListener listener = new RecordingListener();

  /** Log that is unavailable, slow or has lost its history, as the test sets. */
  private static final class FaultyStore extends InMemoryLogStore {

    private boolean unavailable;
    private boolean historyLost;
    private int silentLists;
    private int failures;
    private Duration replyDelay = Duration.ZERO;
    private int reads;
    private final List<Duration> waits = new ArrayList<>();

    private final VirtualLoop time;

    private FaultyStore(VirtualLoop time) {
      super(time.loop(), 1);
      this.time = time;
    }

    @Override
    public CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait) {
      reads++;
      waits.add(wait);
      if (!replyDelay.isZero()) {
        return delayed(super.read(topic, partition, from, wait));
      }
      if (unavailable || failures > 0) {
        failures--;
        return failure();
      }
      if (historyLost) {
        historyLost = false;
        return CompletableFuture.completedFuture(new LogPage(List.of(), from, true, true));
      }
      return super.read(topic, partition, from, wait);
    }

    @Override
    public CompletionStage<KeyedPage> newest(String topic, int partition, @Nullable String after) {
      if (silentLists > 0) {
        silentLists--;
        return new CompletableFuture<>();
      }
      return unavailable ? failure() : super.newest(topic, partition, after);
    }

    private CompletionStage<LogPage> delayed(CompletionStage<LogPage> answer) {
      CompletableFuture<LogPage> delayedPage = new CompletableFuture<>();
      answer.thenAccept(
          page ->
              time.loop()
                  .schedule(
                      () -> delayedPage.complete(page),
                      replyDelay.toMillis(),
                      TimeUnit.MILLISECONDS));
      return delayedPage;
    }

    private static <T> CompletionStage<T> failure() {
      return CompletableFuture.failedFuture(
          new StoreException(StoreException.Kind.NOT_DONE, "unavailable"));
    }
  }

  /** Records the notifications of a follower. */
  private static final class RecordingListener implements KeyedFollower.Listener {

    private final List<String> keys = new ArrayList<>();
    private int reloads;
    private @Nullable Duration outage;

    @Override
    public void onAll(List<KeyedRecord> records) {
      reloads++;
      keys.clear();
      onRecords(records);
    }

    @Override
    public void onRecords(List<KeyedRecord> records) {
      records.forEach(record -> keys.add(record.key()));
    }

    @Override
    public void onStoreRecovered(Duration duration) {
      outage = duration;
    }
  }

  @Test
  void reportsExistingAndNewRecords() {
    put("a");
    follow(PROMPT_WAIT);
    put("b");
    time.advance(Duration.ofMillis(5));
    assertEquals(List.of("a", "b"), listener.keys);
  }

  /**
   * Guards against an endpoint that stays in use after it has left, because its removal was in the
   * lost part of the history.
   */
  @Test
  void reportsTheWholeContentAgainWhenHistoryIsGone() {
    put("a");
    follow(PROMPT_WAIT);
    drop("a");
    put("b");
    store.historyLost = true;
    time.advance(Duration.ofSeconds(2));
    assertEquals(List.of("b"), listener.keys);
    assertEquals(2, listener.reloads);
  }

  @Test
  void continuesAfterAnOutageAndReportsItsDuration() {
    follow(PROMPT_WAIT);
    store.unavailable = true;
    time.advance(Duration.ofSeconds(4));
    put("a");
    store.unavailable = false;
    time.advance(Duration.ofSeconds(1));
    assertEquals(List.of("a"), listener.keys);
    Duration outage = listener.outage;
    assertTrue(outage != null && outage.compareTo(Duration.ofSeconds(2)) > 0, "outage " + outage);
  }

  /**
   * Guards against a change that is noticed only seconds after the end of an outage. The read that
   * returned the change waited for a further one, and meanwhile no component knew whether the store
   * was available.
   */
  @Test
  void readsWithoutWaitingUntilTheStoreIsAvailable() {
    follow(KeyedFollower.RELAXED_WAIT);
    store.unavailable = true;
    time.advance(Duration.ofSeconds(12));
    store.waits.clear();
    time.advance(Duration.ofSeconds(1));
    assertTrue(store.waits.stream().allMatch(Duration.ZERO::equals), store.waits.toString());
    store.unavailable = false;
    time.advance(Duration.ofSeconds(1));
    assertEquals(KeyedFollower.RELAXED_WAIT, store.waits.get(store.waits.size() - 1));
  }

  /**
   * Checks that each change made during a cut read is reported once the store is available again,
   * and none twice.
   */
  @Test
  void reportsChangesMadeDuringACutRead() {
    put("a");
    follow(PROMPT_WAIT);
    store.silence();
    put("b");
    time.advance(Duration.ofMillis(700));
    store.cutReads();
    time.advance(Duration.ofMillis(200));
    assertEquals(List.of("a", "b"), listener.keys);
    assertEquals(1, listener.reloads);
  }

  /**
   * Checks the content after a cut read whose part of the history is gone: removed keys are gone,
   * and added keys are there.
   */
  @Test
  void reportsTheWholeContentWhenTheHistoryOfACutReadIsGone() {
    put("a");
    follow(PROMPT_WAIT);
    store.silence();
    drop("a");
    put("b");
    time.advance(Duration.ofMillis(700));
    store.forgetHistory(TOPIC, 0);
    store.cutReads();
    time.advance(Duration.ofMillis(200));
    assertEquals(List.of("b"), listener.keys);
    assertEquals(2, listener.reloads);
  }

  /**
   * Guards against a change that takes effect seconds late, because the read that would have
   * returned it had gone silent.
   */
  @Test
  void reportsAChangeInTimeWhenItsReadIsSilent() {
    follow(PROMPT_WAIT);
    store.silence();
    put("a");
    time.advance(CHANGE_TIME.dividedBy(4).multipliedBy(3));
    assertEquals(List.of("a"), listener.keys);
  }

  /**
   * Guards against a change that takes effect seconds late, because the history is gone and the
   * call that reloads the list is silent.
   */
  @Test
  void reportsAChangeInTimeWhenItsListIsSilent() {
    follow(PROMPT_WAIT);
    store.historyLost = true;
    store.silentLists = 1;
    time.advance(PROMPT_WAIT);
    assertEquals(0, store.silentLists);
    put("a");
    time.advance(CHANGE_TIME);
    assertEquals(List.of("a"), listener.keys);
  }

  /**
   * Guards against a change that is noticed late although the store is back, because the first
   * retry came after a pause.
   */
  @Test
  void retriesImmediatelyAfterTheFirstFailure() {
    follow(PROMPT_WAIT);
    store.failures = 1;
    put("a");
    time.advance(BATCH_PAUSE.minusMillis(1));
    put("b");
    time.advance(Duration.ofMillis(5));
    assertEquals(0, store.failures);
    assertEquals(List.of("a", "b"), listener.keys);
  }

  /**
   * Guards against a change that is noticed late although other components of the process have
   * found the store available.
   */
  @Test
  void readNowEndsAPause() {
    KeyedFollower follower = follow(PROMPT_WAIT);
    store.unavailable = true;
    time.advance(Duration.ofSeconds(4));
    put("a");
    store.unavailable = false;
    store.reads = 0;
    follower.readNow();
    time.advance(Duration.ofMillis(2));
    assertEquals(List.of("a"), listener.keys);
    // This is the read that found the change. The next read is delayed until further records may
    // have arrived.
    assertEquals(1, store.reads);
  }

  /**
   * Guards against a change that is noticed late although other components of the process have
   * found the store available, because the follower's read was made during the outage and is
   * silent.
   */
  @Test
  void readNowReadsInParallelWithASilentRead() {
    KeyedFollower follower = follow(PROMPT_WAIT);
    store.silence();
    put("a");
    time.advance(Duration.ofMillis(2));
    follower.readNow();
    time.advance(Duration.ofMillis(2));
    assertEquals(List.of("a"), listener.keys);
  }

  /**
   * Guards against a second read of the follower that found the store available itself, because it
   * is notified of its own reply.
   */
  @Test
  void readNowMakesNoSecondReadAfterItsOwnReply() {
    KeyedFollower follower = follow(PROMPT_WAIT);
    store.reads = 0;
    put("a");
    follower.readNow();
    time.advance(BATCH_PAUSE.minusMillis(5));
    assertEquals(0, store.reads);
    assertEquals(List.of("a"), listener.keys);
  }

  /** Guards against calling a slow store twice as often, which makes it slower still. */
  @Test
  void makesNoSecondReadWhileTheStoreIsSlow() {
    store.replyDelay = Duration.ofMillis(240);
    follow(PROMPT_WAIT);
    store.reads = 0;
    time.advance(Duration.ofSeconds(62));
    assertEquals(50, store.reads);
  }

  /**
   * Guards against needless reads, since each waiting read costs money. While nothing changes,
   * there is one read per wait time.
   */
  @Test
  void makesOneReadPerWaitTimeWhileNothingChanges() {
    follow(PROMPT_WAIT);
    store.reads = 0;
    time.advance(Duration.ofSeconds(60));
    assertEquals(60, store.reads);
  }

  /**
   * Guards against a process that considers its copy of the log current because a read ended that
   * had begun long before.
   */
  @Test
  void isFreshAsOfTheBeginOfItsRead() {
    KeyedFollower follower = follow(PROMPT_WAIT);
    Instant loaded = follower.freshAsOf();
    time.advance(PROMPT_WAIT.minusMillis(10));
    assertTrue(follower.freshAsOf().isBefore(loaded.plus(Duration.ofMillis(10))));
    time.advance(PROMPT_WAIT.plusMillis(20));
    assertTrue(!follower.freshAsOf().isBefore(loaded.plus(PROMPT_WAIT)));
    Instant freshBeforeOutage = follower.freshAsOf();
    store.unavailable = true;
    time.advance(CHANGE_TIME);
    assertTrue(!follower.freshAsOf().isAfter(freshBeforeOutage.plus(PROMPT_WAIT).plusMillis(10)));
  }

  /** Guards against requests without a route that cause one call to the store each. */
  @Test
  void sharesOneReadAmongConcurrentRefreshes() {
    KeyedFollower follower = follow(PROMPT_WAIT);
    time.advance(PROMPT_WAIT.dividedBy(2));
    Instant requestedAt = time.instant();
    store.reads = 0;
    CompletionStage<Void> first = follower.refresh();
    for (int i = 0; i < 100; i++) {
      follower.refresh();
    }
    assertEquals(1, store.reads);
    time.advance(Duration.ofMillis(2));
    assertTrue(first.toCompletableFuture().isDone());
    assertTrue(!follower.freshAsOf().isBefore(requestedAt));
    assertEquals(2, store.reads);
  }

  /**
   * Guards against requests without a route that cause one call to the store each while the store
   * is unavailable.
   */
  @Test
  void refreshMakesNoCallWhileTheStoreIsUnavailable() {
    KeyedFollower follower = follow(PROMPT_WAIT);
    store.unavailable = true;
    time.advance(Duration.ofSeconds(4));
    store.reads = 0;
    assertTrue(follower.refresh().toCompletableFuture().isCompletedExceptionally());
    assertEquals(0, store.reads);
  }

  /**
   * Guards against idle processes of a large fleet that use up the capacity of the store and pay
   * for each call.
   */
  @Test
  void readsSeldomForChangesThatMayBeNoticedLate() {
    follow(KeyedFollower.RELAXED_WAIT);
    store.reads = 0;
    time.advance(Duration.ofSeconds(60));
    assertEquals(6, store.reads);
  }

  /**
   * Guards against a hundred records within a second that cost each process of a fleet one call
   * each.
   */
  @Test
  void batchesRecordsThatArriveTogether() {
    follow(PROMPT_WAIT);
    store.reads = 0;
    for (int i = 0; i < 100; i++) {
      put("k" + i);
      time.advance(Duration.ofMillis(10));
    }
    time.advance(Duration.ofMillis(300));
    assertEquals(100, listener.keys.size());
    assertTrue(store.reads <= 7, store.reads + " reads");
  }

  private KeyedFollower follow(Duration wait) {
    KeyedFollower follower =
        new KeyedFollower(store, TOPIC, 0, wait, time.loop(), time, log, listener);
    follower.start();
    time.advance(Duration.ofMillis(5));
    return follower;
  }

  private void put(String key) {
    append(new KeyedRecord(key, "v".getBytes(StandardCharsets.UTF_8)));
  }

  private void drop(String key) {
    append(new KeyedRecord(key, null));
  }

  private void append(KeyedRecord record) {
    store.append(new AppendCall(TOPIC, 0, List.of(record), null));
  }
}

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

  private static final Duration PROMPT = KeyedFollower.waitWithin(CHANGE_TIME);

  /** Pause behind records, in which more of them may come. */
  private static final Duration GATHER = Duration.ofMillis(200);

  private static final String TOPIC = "t";

  private final VirtualLoop time = new VirtualLoop();
  private final TroubledStore store = new TroubledStore(time);
  private final RecordingEventLog log = new RecordingEventLog();
  private final Heard heard = new Heard();

  /** Log that is away, or has forgotten its history, as the test says. */
  private static final class TroubledStore extends InMemoryLogStore {

    private boolean away;
    private boolean forgotten;
    private int silentLists;
    private int failures;
    private Duration slowness = Duration.ZERO;
    private int reads;
    private final List<Duration> waits = new ArrayList<>();

    private final VirtualLoop time;

    private TroubledStore(VirtualLoop time) {
      super(time.loop(), 1);
      this.time = time;
    }

    @Override
    public CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait) {
      reads++;
      waits.add(wait);
      if (!slowness.isZero()) {
        return late(super.read(topic, partition, from, wait));
      }
      if (away || failures > 0) {
        failures--;
        return failure();
      }
      if (forgotten) {
        forgotten = false;
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
      return away ? failure() : super.newest(topic, partition, after);
    }

    private CompletionStage<LogPage> late(CompletionStage<LogPage> answer) {
      CompletableFuture<LogPage> late = new CompletableFuture<>();
      answer.thenAccept(
          page ->
              time.loop()
                  .schedule(() -> late.complete(page), slowness.toMillis(), TimeUnit.MILLISECONDS));
      return late;
    }

    private static <T> CompletionStage<T> failure() {
      return CompletableFuture.failedFuture(
          new StoreException(StoreException.Kind.NOT_DONE, "away"));
    }
  }

  /** Keeps what a follower tells. */
  private static final class Heard implements KeyedFollower.Listener {

    private final List<String> keys = new ArrayList<>();
    private int wholes;
    private @Nullable Duration outage;

    @Override
    public void onAll(List<KeyedRecord> records) {
      wholes++;
      keys.clear();
      onRecords(records);
    }

    @Override
    public void onRecords(List<KeyedRecord> records) {
      records.forEach(record -> keys.add(record.key()));
    }

    @Override
    public void onRegained(Duration lasted) {
      outage = lasted;
    }
  }

  @Test
  void tellsWhatWasThereAndWhatComes() {
    put("a");
    follow(PROMPT);
    put("b");
    time.advance(Duration.ofMillis(5));
    assertEquals(List.of("a", "b"), heard.keys);
  }

  /** An endpoint that left stays in use for good: its removal was in the part that is forgotten. */
  @Test
  void tellsTheWholeContentAnewWhenHistoryIsGone() {
    put("a");
    follow(PROMPT);
    drop("a");
    put("b");
    store.forgotten = true;
    time.advance(Duration.ofSeconds(2));
    assertEquals(List.of("b"), heard.keys);
    assertEquals(2, heard.wholes);
  }

  @Test
  void goesOnAfterAnOutageAndTellsHowLongItWas() {
    follow(PROMPT);
    store.away = true;
    time.advance(Duration.ofSeconds(4));
    put("a");
    store.away = false;
    time.advance(Duration.ofSeconds(1));
    assertEquals(List.of("a"), heard.keys);
    Duration outage = heard.outage;
    assertTrue(outage != null && outage.compareTo(Duration.ofSeconds(2)) > 0, "outage " + outage);
  }

  /**
   * A change is seen seconds after an outage's end: the read that would have found it waited for a
   * further one, and nobody knew meanwhile whether the store answers.
   */
  @Test
  void readsWithoutWaitingUntilTheStoreAnswers() {
    follow(KeyedFollower.UNHURRIED);
    store.away = true;
    time.advance(Duration.ofSeconds(12));
    store.waits.clear();
    time.advance(Duration.ofSeconds(1));
    assertTrue(store.waits.stream().allMatch(Duration.ZERO::equals), store.waits.toString());
    store.away = false;
    time.advance(Duration.ofSeconds(1));
    assertEquals(KeyedFollower.UNHURRIED, store.waits.get(store.waits.size() - 1));
  }

  /** Each change in the whole of what was cut is told once the store answers, none twice. */
  @Test
  void tellsWhatWasMadeWhileItsReadWasCut() {
    put("a");
    follow(PROMPT);
    store.silence();
    put("b");
    time.advance(Duration.ofMillis(700));
    store.cutReads();
    time.advance(Duration.ofMillis(200));
    assertEquals(List.of("a", "b"), heard.keys);
    assertEquals(1, heard.wholes);
  }

  /** A cut read whose part of the history is gone finds removed keys gone, and added ones there. */
  @Test
  void tellsTheWholeContentWhenTheCutReadsHistoryIsGone() {
    put("a");
    follow(PROMPT);
    store.silence();
    drop("a");
    put("b");
    time.advance(Duration.ofMillis(700));
    store.forgetHistory(TOPIC, 0);
    store.cutReads();
    time.advance(Duration.ofMillis(200));
    assertEquals(List.of("b"), heard.keys);
    assertEquals(2, heard.wholes);
  }

  /** A change is in force seconds late: the read that would have found it had gone silent. */
  @Test
  void tellsOfAChangeInTimeThoughItsReadIsSilent() {
    follow(PROMPT);
    store.silence();
    put("a");
    time.advance(CHANGE_TIME.dividedBy(4).multipliedBy(3));
    assertEquals(List.of("a"), heard.keys);
  }

  /** The same where the history is gone, and the call that loads the list anew is silent. */
  @Test
  void tellsOfAChangeInTimeThoughItsListIsSilent() {
    follow(PROMPT);
    store.forgotten = true;
    store.silentLists = 1;
    time.advance(PROMPT);
    assertEquals(0, store.silentLists);
    put("a");
    time.advance(CHANGE_TIME);
    assertEquals(List.of("a"), heard.keys);
  }

  /** A change is seen late though the store is back: the first repeat came after a pause. */
  @Test
  void readsAgainAtOnceAfterAFirstFailure() {
    follow(PROMPT);
    store.failures = 1;
    put("a");
    time.advance(GATHER.minusMillis(1));
    put("b");
    time.advance(Duration.ofMillis(5));
    assertEquals(0, store.failures);
    assertEquals(List.of("a", "b"), heard.keys);
  }

  /** A change is seen late though others of the process have found the store answering. */
  @Test
  void readsAtOnceInPlaceOfAPauseWhenTold() {
    KeyedFollower follower = follow(PROMPT);
    store.away = true;
    time.advance(Duration.ofSeconds(4));
    put("a");
    store.away = false;
    store.reads = 0;
    follower.readNow();
    time.advance(Duration.ofMillis(2));
    assertEquals(List.of("a"), heard.keys);
    // The one that found the change; the next one waits until more may have come.
    assertEquals(1, store.reads);
  }

  /** The same where its read was made in the outage and is silent. */
  @Test
  void readsAtOnceBesideASilentReadWhenTold() {
    KeyedFollower follower = follow(PROMPT);
    store.silence();
    put("a");
    time.advance(Duration.ofMillis(2));
    follower.readNow();
    time.advance(Duration.ofMillis(2));
    assertEquals(List.of("a"), heard.keys);
  }

  /** A follower that finds the store itself reads twice: it is told of its own answer. */
  @Test
  void makesNoSecondReadWhenToldOfItsOwnAnswer() {
    KeyedFollower follower = follow(PROMPT);
    store.reads = 0;
    put("a");
    follower.readNow();
    time.advance(GATHER.minusMillis(5));
    assertEquals(0, store.reads);
    assertEquals(List.of("a"), heard.keys);
  }

  /** A store that is slow is called twice as often, and becomes slower still. */
  @Test
  void makesNoSecondReadWhileTheStoreIsSlow() {
    store.slowness = Duration.ofMillis(240);
    follow(PROMPT);
    store.reads = 0;
    time.advance(Duration.ofSeconds(62));
    assertEquals(50, store.reads);
  }

  /** Waiting reads are paid for: at rest there is one a wait. */
  @Test
  void makesOneReadAWaitAtRest() {
    follow(PROMPT);
    store.reads = 0;
    time.advance(Duration.ofSeconds(60));
    assertEquals(60, store.reads);
  }

  /** A process takes what it knows for fresh, by the end of a read that began long before. */
  @Test
  void provesWhatWasThereWhenItsReadBegan() {
    KeyedFollower follower = follow(PROMPT);
    Instant loaded = follower.provenAt();
    time.advance(PROMPT.minusMillis(10));
    assertTrue(follower.provenAt().isBefore(loaded.plus(Duration.ofMillis(10))));
    time.advance(PROMPT.plusMillis(20));
    assertTrue(!follower.provenAt().isBefore(loaded.plus(PROMPT)));
    Instant proven = follower.provenAt();
    store.away = true;
    time.advance(CHANGE_TIME);
    assertTrue(!follower.provenAt().isAfter(proven.plus(PROMPT).plusMillis(10)));
  }

  /** Requests without a route become as many calls to the store. */
  @Test
  void sharesOneReadAmongAllWhoAskForAProof() {
    KeyedFollower follower = follow(PROMPT);
    time.advance(PROMPT.dividedBy(2));
    Instant asked = time.instant();
    store.reads = 0;
    CompletionStage<Void> first = follower.refresh();
    for (int i = 0; i < 100; i++) {
      follower.refresh();
    }
    assertEquals(1, store.reads);
    time.advance(Duration.ofMillis(2));
    assertTrue(first.toCompletableFuture().isDone());
    assertTrue(!follower.provenAt().isBefore(asked));
    assertEquals(2, store.reads);
  }

  /** The same while the store is away, when each would find that out anew. */
  @Test
  void asksNothingForAProofWhileTheStoreIsAway() {
    KeyedFollower follower = follow(PROMPT);
    store.away = true;
    time.advance(Duration.ofSeconds(4));
    store.reads = 0;
    assertTrue(follower.refresh().toCompletableFuture().isCompletedExceptionally());
    assertEquals(0, store.reads);
  }

  /** Idle processes of a large fleet use up what the store can answer, and pay for each call. */
  @Test
  void asksSeldomForWhatMayBeSeenLate() {
    follow(KeyedFollower.UNHURRIED);
    store.reads = 0;
    time.advance(Duration.ofSeconds(60));
    assertEquals(6, store.reads);
  }

  /** Each of a hundred records that come within a second costs each process of a fleet a call. */
  @Test
  void gathersRecordsThatComeTogether() {
    follow(PROMPT);
    store.reads = 0;
    for (int i = 0; i < 100; i++) {
      put("k" + i);
      time.advance(Duration.ofMillis(10));
    }
    time.advance(Duration.ofMillis(300));
    assertEquals(100, heard.keys.size());
    assertTrue(store.reads <= 7, store.reads + " reads");
  }

  private KeyedFollower follow(Duration wait) {
    KeyedFollower follower =
        new KeyedFollower(store, TOPIC, 0, wait, time.loop(), time, log, heard);
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

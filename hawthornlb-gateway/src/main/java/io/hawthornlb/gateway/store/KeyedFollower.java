package io.hawthornlb.gateway.store;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.store.LogStore.KeyedPage;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.LogStore.LogPage;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Follows one partition of a keyed topic by waiting reads, and starts over from the newest records
 * when the history it needs is gone.
 *
 * <p>Failure: a connection goes silent without an end. It shows as a change that a process does not
 * learn of until its read is given up. Guard: a second call is made beside one whose answer is
 * overdue.
 *
 * <p>Failure: the store is away, slow or forgets its history. It shows as failed reads, or as a
 * page that says that records are gone. Guard: failed reads are repeated after a pause that grows,
 * and without waiting, so that the answer tells at once that the store is back and what changed
 * meanwhile; after missing history the listener gets the whole content anew, so that removals in
 * the gap are not missed.
 */
public final class KeyedFollower implements LogProof {

  /**
   * Wait of a read for changes that may be seen late, such as the list of processes, whose silence
   * is noticed by questions without an answer.
   */
  public static final Duration UNHURRIED = Duration.ofSeconds(10);

  /**
   * Pause after a read that brought records. When many processes or endpoints register at once,
   * each record would cost each process a call.
   */
  private static final Duration GATHER = Duration.ofMillis(200);

  /** Time within which answers come; a store that is slow takes up to 240 ms. */
  private static final Duration ANSWER_TIME = Duration.ofMillis(300);

  /** The same for a page of newest records, 1 MB in base64 over a link of 21 Mbit/s. */
  private static final Duration LIST_TIME = Duration.ofMillis(700);

  /** Most by which processes differ in when they make a second call. */
  private static final Duration SPREAD = Duration.ofMillis(100);

  /** Pause before the second repeat; the first one comes at once. */
  private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

  /** Longest pause between tries; entries are to be back within 2 s of an outage's end. */
  private static final Duration MAX_PAUSE = Duration.ofMillis(800);

  /** Part of the time for a change that a read may wait; the rest is for a call and its effect. */
  private static final int WAITS_IN_CHANGE_TIME = 2;

  private final LogStore store;
  private final String topic;
  private final int partition;
  private final Duration wait;
  private final InstantSource clock;
  private final EventLog log;
  private final Listener listener;
  private final FollowerStep step;
  private final ProvenMoment proven;
  private Duration pause = FIRST_PAUSE;
  private boolean loaded;
  private boolean lost;
  private Instant lostAt = Instant.MIN;
  private boolean stopped;

  /**
   * A page and when the call for it began; it holds what was written before that.
   *
   * @param page the page
   * @param begun when the call began
   */
  private record Answer<T>(T page, Instant begun) {}

  /** Receives what a partition holds. */
  public interface Listener {

    /** Takes the whole content, the newest record of each key. */
    void onAll(List<KeyedRecord> records);

    /** Takes records that were appended. */
    void onRecords(List<KeyedRecord> records);

    /** Is told that the store answers again after it did not for some time. */
    default void onRegained(Duration outage) {}
  }

  /**
   * Creates a follower; all its work happens on the executor.
   *
   * @param wait how long reads wait for records
   */
  public KeyedFollower(
      LogStore store,
      String topic,
      int partition,
      Duration wait,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log,
      Listener listener) {
    this.store = store;
    this.topic = topic;
    this.partition = partition;
    this.wait = wait;
    this.clock = clock;
    this.log = log;
    this.listener = listener;
    this.step = new FollowerStep(executor);
    this.proven = new ProvenMoment(executor);
  }

  /**
   * Returns how long reads may wait for changes that are to be in force within a time.
   *
   * <p>A read that falls silent is noticed when its wait is over; the wait, a call after it and
   * what the change takes to have an effect stay within the time.
   */
  public static Duration waitWithin(Duration changeTime) {
    return changeTime.dividedBy(WAITS_IN_CHANGE_TIME);
  }

  /** Starts to follow. */
  public void start() {
    loadAll(new ArrayList<>(), null, null);
  }

  /** Stops after the read that is on its way. */
  public void stop() {
    stopped = true;
  }

  /**
   * Reads at once, beside a read that is on its way or in place of a pause.
   *
   * <p>Failure: the store is away for some time. It shows as reads of that time that stay silent,
   * and as pauses, which hide changes made after its end. Guard: whoever learns that the store
   * answers again calls this.
   */
  public void readNow() {
    // The answer by which that was learned may be this follower's own.
    step.hurryBehindAnswers();
  }

  @Override
  public Instant provenAt() {
    return proven.latest();
  }

  @Override
  public CompletionStage<Void> refresh() {
    if (lost) {
      return CompletableFuture.failedFuture(noAnswer());
    }
    step.hurry();
    return proven.next();
  }

  private static StoreException noAnswer() {
    return new StoreException(StoreException.Kind.NOT_DONE, "The store does not answer");
  }

  /**
   * Loads a page of newest records.
   *
   * @param first the first page that was loaded; null for that one
   */
  private void loadAll(
      List<KeyedRecord> records, @Nullable String after, @Nullable Answer<KeyedPage> first) {
    if (stopped) {
      return;
    }
    Supplier<CompletionStage<Answer<KeyedPage>>> list =
        () -> timed(() -> store.newest(topic, partition, after));
    HedgedCall<Answer<KeyedPage>> listing = step.call(list);
    listing
        .start(list)
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                failed("newest", -1, failure, this::start);
                return;
              }
              loadedPage(records, answer.page(), first == null ? answer : first);
            });
    // A process that starts takes no requests yet, and may be one of many.
    if (loaded) {
      listing.hurryAfter(spread(LIST_TIME));
    }
  }

  private void loadedPage(List<KeyedRecord> records, KeyedPage page, Answer<KeyedPage> first) {
    answered();
    records.addAll(page.records());
    if (page.more() && !page.records().isEmpty()) {
      String last = page.records().get(page.records().size() - 1).key();
      loadAll(records, last, first);
      return;
    }
    // Pages are not a snapshot. Reading on from the end that the first page named sees what was
    // written between the pages once more, which does no harm, and misses nothing.
    long from = first.page().end();
    log.important("store", "loaded")
        .with("topic", topic)
        .with("records", records.size())
        .with("end", from)
        .write();
    loaded = true;
    listener.onAll(records);
    proven.proven(first.begun());
    readFrom(from);
  }

  private void readFrom(long offset) {
    if (stopped) {
      return;
    }
    Duration longest = lost ? Duration.ZERO : wait;
    HedgedCall<Answer<LogPage>> reading = step.call(() -> read(offset, Duration.ZERO));
    reading
        .start(() -> read(offset, longest))
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                failed("read", offset, failure, () -> readFrom(offset));
                return;
              }
              readPage(answer.page(), answer.begun());
            });
    reading.hurryAfter(longest.plus(spread(ANSWER_TIME)));
  }

  private CompletionStage<Answer<LogPage>> read(long offset, Duration longest) {
    return timed(() -> store.read(topic, partition, offset, longest));
  }

  private <T> CompletionStage<Answer<T>> timed(Supplier<CompletionStage<T>> made) {
    Instant begun = clock.instant();
    return made.get().thenApply(page -> new Answer<>(page, begun));
  }

  private static Duration spread(Duration time) {
    return time.plusMillis(ThreadLocalRandom.current().nextLong(SPREAD.toMillis()));
  }

  private void readPage(LogPage page, Instant begun) {
    answered();
    if (page.trimmed()) {
      log.important("store", "history.gone").with("topic", topic).write();
      start();
      return;
    }
    if (!page.records().isEmpty()) {
      listener.onRecords(page.records());
    }
    if (!page.more()) {
      proven.proven(begun);
    }
    if (page.records().isEmpty()) {
      readFrom(page.next());
      return;
    }
    step.pause(GATHER, () -> readFrom(page.next()));
  }

  private void answered() {
    pause = FIRST_PAUSE;
    if (lost) {
      lost = false;
      log.important("store", "regained")
          .with("topic", topic)
          .with("millis", Duration.between(lostAt, clock.instant()).toMillis())
          .write();
      listener.onRegained(Duration.between(lostAt, clock.instant()));
    }
  }

  private void failed(String call, long offset, Throwable failure, Runnable again) {
    if (!lost) {
      lost = true;
      lostAt = clock.instant();
      log.important("store", "lost")
          .with("topic", topic)
          .with("call", call)
          .with("from", offset)
          .with("cause", String.valueOf(failure.getMessage()))
          .write();
      proven.lost(noAnswer());
      again.run();
      return;
    }
    step.pause(pause, again);
    Duration doubled = pause.multipliedBy(2);
    pause = doubled.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : doubled;
  }
}

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
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Follows one partition of a keyed topic by waiting reads, and starts over from the newest records
 * when the history it needs is gone.
 *
 * <p>Failure: the store is away, slow or forgets its history. It shows as failed reads, or as a
 * page that says that records are gone. Guard: failed reads are repeated after a pause that grows,
 * and without waiting, so that the answer tells at once that the store is back and what changed
 * meanwhile; after missing history the listener gets the whole content anew, so that removals in
 * the gap are not missed.
 */
public final class KeyedFollower {

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

  private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

  /** Longest pause between tries; entries are to be back within 2 s of an outage's end. */
  private static final Duration MAX_PAUSE = Duration.ofMillis(800);

  /** Part of the time for a change that a read may wait; the rest is for a call and its effect. */
  private static final int WAITS_IN_CHANGE_TIME = 2;

  private final LogStore store;
  private final String topic;
  private final int partition;
  private final Duration wait;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;
  private final Listener listener;
  private Duration pause = FIRST_PAUSE;
  private boolean lost;
  private Instant lostAt = Instant.MIN;
  private boolean stopped;

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
    this.executor = executor;
    this.clock = clock;
    this.log = log;
    this.listener = listener;
  }

  /**
   * Returns how long reads may wait for changes that are to be in force within a time.
   *
   * <p>Failure: a connection goes silent without an end. It shows as a change that a process does
   * not learn of until its read has waited in vain. Guard: the wait and a call after it stay within
   * the time.
   */
  public static Duration waitWithin(Duration changeTime) {
    return changeTime.dividedBy(WAITS_IN_CHANGE_TIME);
  }

  /** Starts to follow. */
  public void start() {
    loadAll(new ArrayList<>(), null, -1);
  }

  /** Stops after the read that is on its way. */
  public void stop() {
    stopped = true;
  }

  private void loadAll(List<KeyedRecord> records, @Nullable String after, long firstEnd) {
    if (stopped) {
      return;
    }
    store
        .newest(topic, partition, after)
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure != null) {
                failed("newest", -1, failure, this::start);
                return;
              }
              loadedPage(records, page, firstEnd);
            },
            executor);
  }

  private void loadedPage(List<KeyedRecord> records, KeyedPage page, long firstEnd) {
    answered();
    records.addAll(page.records());
    // Pages are not a snapshot. Reading on from the end that the first page named sees what was
    // written between the pages once more, which does no harm, and misses nothing.
    long from = firstEnd < 0 ? page.end() : firstEnd;
    if (page.more() && !page.records().isEmpty()) {
      String last = page.records().get(page.records().size() - 1).key();
      loadAll(records, last, from);
      return;
    }
    log.important("store", "loaded")
        .with("topic", topic)
        .with("records", records.size())
        .with("end", from)
        .write();
    listener.onAll(records);
    readFrom(from);
  }

  private void readFrom(long offset) {
    if (stopped) {
      return;
    }
    store
        .read(topic, partition, offset, lost ? Duration.ZERO : wait)
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure != null) {
                failed("read", offset, failure, () -> readFrom(offset));
                return;
              }
              readPage(page);
            },
            executor);
  }

  private void readPage(LogPage page) {
    answered();
    if (page.trimmed()) {
      log.important("store", "history.gone").with("topic", topic).write();
      start();
      return;
    }
    if (page.records().isEmpty()) {
      readFrom(page.next());
      return;
    }
    listener.onRecords(page.records());
    executor.schedule(() -> readFrom(page.next()), GATHER.toMillis(), TimeUnit.MILLISECONDS);
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
    }
    executor.schedule(again, pause.toMillis(), TimeUnit.MILLISECONDS);
    Duration doubled = pause.multipliedBy(2);
    pause = doubled.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : doubled;
  }
}

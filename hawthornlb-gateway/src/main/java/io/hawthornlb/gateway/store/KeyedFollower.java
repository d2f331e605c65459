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
 * Follows one partition of a keyed topic by reads that wait for new records. If the history that it
 * needs is gone, the follower reloads the newest records.
 *
 * <p>A connection may go silent without being closed. The process would then not learn of a change
 * until its read times out. Therefore a second call is made in parallel with a call whose reply is
 * overdue.
 *
 * <p>The store may be unavailable or slow, or may lose its history. Reads then fail, or return a
 * page that says that records are gone. Failed reads are retried with exponential backoff and do
 * not wait for records, so that the reply shows at once that the store is back and what changed
 * meanwhile. After a loss of history the listener gets the whole content again, so that it does not
 * miss removals in the lost part.
 */
public final class KeyedFollower implements LogFreshness {

  /**
   * Wait time of reads for changes that may be noticed late, such as the list of processes. That a
   * process is silent is noticed by requests that it does not answer.
   */
  public static final Duration RELAXED_WAIT = Duration.ofSeconds(10);

  /**
   * Pause after a read that returned records. When many processes or endpoints register at the same
   * time, each record would otherwise cost each process a call.
   */
  private static final Duration BATCH_PAUSE = Duration.ofMillis(200);

  /** Time within which a reply is expected; a slow store takes up to 240 ms. */
  private static final Duration EXPECTED_REPLY_TIME = Duration.ofMillis(300);

  /**
   * Time within which a page of newest records is expected: 1 MB in base64 over a link of 21
   * Mbit/s.
   */
  private static final Duration EXPECTED_LIST_TIME = Duration.ofMillis(700);

  /** Maximum jitter that is added to the time at which a process makes a second call. */
  private static final Duration MAX_JITTER = Duration.ofMillis(100);

  /** Pause before the second retry; the first retry is immediate. */
  private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

  /**
   * Longest pause between retries; entries that lapsed during an outage must be visible again
   * within 2 s after its end.
   */
  private static final Duration MAX_PAUSE = Duration.ofMillis(800);

  /**
   * Divisor of the time for a change that yields the wait time of a read. The rest is for one call
   * and its effect.
   */
  private static final int CHANGE_TIME_DIVISOR = 2;

  private final LogStore store;
  private final String topic;
  private final int partition;
  private final Duration wait;
  private final InstantSource clock;
  private final EventLog log;
  private final Listener listener;
  private final FollowerStep step;
  private final FreshnessTracker freshness;
  private Duration pause = FIRST_PAUSE;
  private boolean loaded;
  private boolean unavailable;
  private Instant unavailableSince = Instant.MIN;
  private boolean stopped;

  /**
   * A page with the time at which the call for it began. The page contains all that was written
   * before that time.
   *
   * @param page the page
   * @param begun when the call began
   */
  private record TimedPage<T>(T page, Instant begun) {}

  /** Listener for the content of a partition. */
  public interface Listener {

    /** Called with the whole content: the newest record of each key. */
    void onAll(List<KeyedRecord> records);

    /** Called with records that were appended. */
    void onRecords(List<KeyedRecord> records);

    /** Called when the store is available again after an outage. */
    default void onStoreRecovered(Duration outage) {}
  }

  /**
   * Creates a follower. All work happens on the executor.
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
    this.freshness = new FreshnessTracker(executor);
  }

  /**
   * Returns how long reads may wait for changes that must take effect within a given time.
   *
   * <p>If the connection of a read goes silent, this is noticed when the read's wait is over. The
   * wait, the second call and the time that the change needs to take effect together stay within
   * the given time.
   */
  public static Duration waitWithin(Duration changeTime) {
    return changeTime.dividedBy(CHANGE_TIME_DIVISOR);
  }

  /** Loads the partition and starts to follow it. */
  public void start() {
    loadAll(new ArrayList<>(), null, null);
  }

  /** Stops after the read that is in progress. */
  public void stop() {
    stopped = true;
  }

  /**
   * Reads immediately, in parallel with a read in progress or in place of a pause.
   *
   * <p>The store may be unavailable for some time. Reads made in that time stay silent, and pauses
   * after failed reads delay changes made after the outage. Therefore the component that learns
   * that the store is available again calls this method.
   */
  public void readNow() {
    // The reply that showed the store to be available may be this follower's own.
    step.proceedAfterPendingReplies();
  }

  @Override
  public Instant freshAsOf() {
    return freshness.latest();
  }

  @Override
  public CompletionStage<Void> refresh() {
    if (unavailable) {
      return CompletableFuture.failedFuture(storeUnavailable());
    }
    step.proceedNow();
    return freshness.next();
  }

  private static StoreException storeUnavailable() {
    return new StoreException(StoreException.Kind.NOT_DONE, "The store is unavailable");
  }

  /**
   * Loads a page of newest records.
   *
   * @param first first page of this load; null while that page is loaded
   */
  private void loadAll(
      List<KeyedRecord> records, @Nullable String after, @Nullable TimedPage<KeyedPage> first) {
    if (stopped) {
      return;
    }
    Supplier<CompletionStage<TimedPage<KeyedPage>>> list =
        () -> timed(() -> store.newest(topic, partition, after));
    HedgedCall<TimedPage<KeyedPage>> listing = step.call(list);
    listing
        .start(list)
        .whenComplete(
            (reply, failure) -> {
              if (failure != null) {
                onFailure("newest", -1, failure, this::start);
                return;
              }
              onListPage(records, reply.page(), first == null ? reply : first);
            });
    // A starting process makes no second call: it accepts no requests yet, and many processes may
    // start together.
    if (loaded) {
      listing.hedgeAfter(withJitter(EXPECTED_LIST_TIME));
    }
  }

  private void onListPage(List<KeyedRecord> records, KeyedPage page, TimedPage<KeyedPage> first) {
    onReply();
    records.addAll(page.records());
    if (page.more() && !page.records().isEmpty()) {
      String last = page.records().get(page.records().size() - 1).key();
      loadAll(records, last, first);
      return;
    }
    // The pages are not a snapshot. The follower reads on from the end that the first page named.
    // It sees the records that were written between the pages twice, which does no harm, and misses
    // none.
    long from = first.page().end();
    log.important("store", "loaded")
        .with("topic", topic)
        .with("records", records.size())
        .with("end", from)
        .write();
    loaded = true;
    listener.onAll(records);
    freshness.caughtUp(first.begun());
    readFrom(from);
  }

  private void readFrom(long offset) {
    if (stopped) {
      return;
    }
    Duration maxWait = unavailable ? Duration.ZERO : wait;
    HedgedCall<TimedPage<LogPage>> reading = step.call(() -> read(offset, Duration.ZERO));
    reading
        .start(() -> read(offset, maxWait))
        .whenComplete(
            (reply, failure) -> {
              if (failure != null) {
                onFailure("read", offset, failure, () -> readFrom(offset));
                return;
              }
              onReadPage(reply.page(), reply.begun());
            });
    reading.hedgeAfter(maxWait.plus(withJitter(EXPECTED_REPLY_TIME)));
  }

  private CompletionStage<TimedPage<LogPage>> read(long offset, Duration maxWait) {
    return timed(() -> store.read(topic, partition, offset, maxWait));
  }

  private <T> CompletionStage<TimedPage<T>> timed(Supplier<CompletionStage<T>> call) {
    Instant begun = clock.instant();
    return call.get().thenApply(page -> new TimedPage<>(page, begun));
  }

  private static Duration withJitter(Duration time) {
    return time.plusMillis(ThreadLocalRandom.current().nextLong(MAX_JITTER.toMillis()));
  }

  private void onReadPage(LogPage page, Instant begun) {
    onReply();
    if (page.trimmed()) {
      log.important("store", "history.gone").with("topic", topic).write();
      start();
      return;
    }
    if (!page.records().isEmpty()) {
      listener.onRecords(page.records());
    }
    if (!page.more()) {
      freshness.caughtUp(begun);
    }
    if (page.records().isEmpty()) {
      readFrom(page.next());
      return;
    }
    step.pause(BATCH_PAUSE, () -> readFrom(page.next()));
  }

  private void onReply() {
    pause = FIRST_PAUSE;
    if (unavailable) {
      unavailable = false;
      log.important("store", "regained")
          .with("topic", topic)
          .with("millis", Duration.between(unavailableSince, clock.instant()).toMillis())
          .write();
      listener.onStoreRecovered(Duration.between(unavailableSince, clock.instant()));
    }
  }

  private void onFailure(String call, long offset, Throwable failure, Runnable retry) {
    if (!unavailable) {
      unavailable = true;
      unavailableSince = clock.instant();
      log.important("store", "lost")
          .with("topic", topic)
          .with("call", call)
          .with("from", offset)
          .with("cause", String.valueOf(failure.getMessage()))
          .write();
      freshness.storeUnavailable(storeUnavailable());
      retry.run();
      return;
    }
    step.pause(pause, retry);
    Duration doubled = pause.multipliedBy(2);
    pause = doubled.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : doubled;
  }
}

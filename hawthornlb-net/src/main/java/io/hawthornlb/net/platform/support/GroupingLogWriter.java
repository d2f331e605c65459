package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.net.platform.AppendStatistics;
import io.hawthornlb.net.platform.LogClient;
import io.hawthornlb.net.platform.LogUnavailableException;
import io.hawthornlb.net.platform.LogWriter;
import io.hawthornlb.net.platform.RecordNotAppendedException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Groups the waiting records of a stream into one append call, with at most one call in flight for
 * each stream.
 *
 * <p>A response can be lost after the append took effect. The call then fails although the stream
 * contains the records. The writer resends the same ids until the log acknowledges them, they are
 * read from the stream or the writer gives up; folds drop the second occurrence. The next call
 * waits for the previous one to succeed, so that resent records never come after later ones.
 */
public final class GroupingLogWriter implements LogWriter {

  private static final System.Logger LOG = System.getLogger(GroupingLogWriter.class.getName());

  private final LogClient client;
  private final RecordCodec codec;
  private final ScheduledExecutorService timers;
  private final InstantSource clock;
  private final WriterSettings settings;
  private final JitteredBackoff backoff;
  private final AppendMeter meter;
  private final Map<StreamName, StreamQueue> queues = new ConcurrentHashMap<>();

  /**
   * Creates a writer.
   *
   * @param timers runs the append calls and resends; must be single-threaded
   * @param random the source of the backoff jitter; used on {@code timers} only
   */
  public GroupingLogWriter(
      LogClient client,
      RecordCodec codec,
      ScheduledExecutorService timers,
      InstantSource clock,
      RandomGenerator random,
      WriterSettings settings) {
    this.client = client;
    this.codec = codec;
    this.timers = timers;
    this.clock = clock;
    this.settings = settings;
    this.backoff = new JitteredBackoff(settings.firstBackoff(), settings.longestBackoff(), random);
    this.meter = new AppendMeter(clock);
  }

  @Override
  public CompletionStage<Long> append(AppendRecord effect) {
    PendingRecord entry =
        new PendingRecord(
            effect.id(), codec.encode(effect), clock.instant(), new CompletableFuture<>());
    Optional<PendingRecord> waiting = queue(effect.stream()).offer(entry);
    if (waiting.isEmpty()) {
      meter.gaveUp(1);
      return CompletableFuture.failedFuture(
          new RecordNotAppendedException(effect.id(), "too many records are waiting", false, null));
    }
    timers.execute(() -> sendNext(effect.stream(), 0));
    return waiting.get().offset().copy();
  }

  @Override
  public void seen(StreamName stream, RecordId id, long offset) {
    StreamQueue queue = queues.get(stream);
    if (queue != null) {
      queue.remove(id).ifPresent(entry -> entry.offset().complete(offset));
    }
  }

  /** Returns the counters of this writer. */
  public AppendStatistics statistics() {
    return meter.statistics(queues.values().stream().mapToInt(StreamQueue::size).sum());
  }

  private StreamQueue queue(StreamName stream) {
    return queues.computeIfAbsent(stream, name -> new StreamQueue(settings.streamRecords()));
  }

  private void sendNext(StreamName stream, int failures) {
    StreamQueue queue = queue(stream);
    List<PendingRecord> group = queue.nextGroup(settings.groupRecords(), settings.groupBytes());
    if (group.isEmpty()) {
      return;
    }
    meter.called(group.size());
    call(stream, group)
        .whenCompleteAsync(
            (first, failure) -> handleResult(stream, group, first, failure, failures), timers);
  }

  private CompletionStage<Long> call(StreamName stream, List<PendingRecord> group) {
    try {
      return client.append(stream, group.stream().map(PendingRecord::data).toList());
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private void handleResult(
      StreamName stream,
      List<PendingRecord> group,
      @Nullable Long first,
      @Nullable Throwable failure,
      int failures) {
    if (first == null) {
      scheduleRetry(stream, failure, failures + 1);
      return;
    }
    for (int i = 0; i < group.size(); i++) {
      seen(stream, group.get(i).id(), first + i);
    }
    queue(stream).release();
    sendNext(stream, 0);
  }

  /**
   * Keeps the group marked as in flight through the backoff, so that no later record overtakes it.
   */
  private void scheduleRetry(StreamName stream, @Nullable Throwable failure, int failures) {
    meter.failed();
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    Duration delay = backoff.delay(failures);
    if (cause instanceof LogUnavailableException e && e.retryAfter().compareTo(delay) > 0) {
      delay = e.retryAfter();
    }
    LOG.log(
        System.Logger.Level.DEBUG,
        "log-writer: append to {0} failed {1} times in a row; retrying in {2}",
        stream,
        failures,
        delay);
    abandonOldRecords(stream, cause);
    timers.schedule(
        () -> {
          queue(stream).release();
          sendNext(stream, failures);
        },
        delay.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void abandonOldRecords(StreamName stream, @Nullable Throwable cause) {
    Instant oldest = clock.instant().minus(settings.giveUpAfter());
    List<PendingRecord> abandoned = queue(stream).removeBefore(oldest);
    meter.gaveUp(abandoned.size());
    for (PendingRecord entry : abandoned) {
      LOG.log(
          System.Logger.Level.WARNING,
          "log-writer: gave up appending {0} to {1}",
          entry.id(),
          stream);
      entry
          .offset()
          .completeExceptionally(
              new RecordNotAppendedException(
                  entry.id(), "the log stayed unavailable", true, cause));
    }
  }
}

package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.SnapshotFold;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.util.Checks;
import io.hawthornlb.net.codec.CodecException;
import io.hawthornlb.net.platform.LogClient;
import io.hawthornlb.net.platform.LogPage;
import io.hawthornlb.net.platform.MissedRecordSource;
import io.hawthornlb.net.platform.OffsetExpiredException;
import io.hawthornlb.net.platform.RecordListener;
import io.hawthornlb.net.platform.StoredRecord;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Reads one stream by long polls and applies its records to a fold.
 *
 * <p>While the platform is unavailable, the follower asks peers for the records that they have
 * read. The follower stops when it is closed or when its executors are shut down.
 */
public final class StreamFollower implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger(StreamFollower.class.getName());

  private final StreamName stream;
  private final SnapshotFold fold;
  private final LogClient client;
  private final RecordCodec codec;
  private final Executor foldExecutor;
  private final ScheduledExecutorService timers;
  private final InstantSource clock;
  private final FollowerSettings settings;
  private final JitteredBackoff backoff;
  private final MissedRecordSource missed;
  private final RecentRecords recent;
  private final RecordListener listener;
  private volatile @Nullable Instant freshAsOf;
  private volatile boolean closed;

  // Used on the fold executor only: the offset of the next read, and whether the fold started from
  // records of a peer.
  private long position;
  private boolean startedFromPeer;

  private StreamFollower(Builder builder) {
    this.stream = builder.stream;
    this.fold = builder.fold;
    this.client = builder.client;
    this.codec = builder.codec;
    this.foldExecutor = builder.foldExecutor;
    this.timers = builder.timers;
    this.clock = builder.clock;
    this.settings = builder.settings;
    this.backoff =
        new JitteredBackoff(settings.firstBackoff(), settings.longestBackoff(), builder.random);
    this.missed = builder.missed;
    this.recent = builder.recent;
    this.listener = builder.listener;
  }

  /** Returns a builder. The fold is used on the fold executor of the builder only. */
  public static Builder builder(
      StreamName stream, SnapshotFold fold, LogClient client, RecordCodec codec) {
    return new Builder(stream, fold, client, codec);
  }

  /** Starts reading at the next offset of the fold. */
  public void start() {
    foldExecutor.execute(
        () -> {
          position = fold.nextOffset();
          poll(0);
        });
  }

  /**
   * Returns the last time at which the fold is known to have been up to date with the platform, or
   * empty if it has not been so far.
   *
   * <p>The returned time is that of sending the read that confirmed this, so it may be earlier than
   * the actual time but never later.
   */
  public Optional<Instant> freshAsOf() {
    return Optional.ofNullable(freshAsOf);
  }

  @Override
  public void close() {
    closed = true;
  }

  private void poll(int failures) {
    if (closed) {
      return;
    }
    Instant requestedAt = clock.instant();
    read()
        .handleAsync(
            (page, failure) -> {
              handlePage(requestedAt, page, failure, failures);
              return null;
            },
            foldExecutor)
        .exceptionally(this::logFailure);
  }

  private CompletionStage<LogPage> read() {
    try {
      return client.read(stream, readFrom(), settings.pageRecords(), settings.longPoll());
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /**
   * Returns the offset of the next read.
   *
   * <p>A fold that started from the records of a peer may lack a snapshot that the platform still
   * has at a lower offset. The fold would then stay incomplete even after the platform is available
   * again. Such a fold therefore reads again from the offset where its state ends, and restarts
   * there.
   */
  private long readFrom() {
    return startedFromPeer && !fold.complete() ? fold.stateOffset() : position;
  }

  private void handlePage(
      Instant requestedAt, @Nullable LogPage page, @Nullable Throwable failure, int failures) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (page != null) {
      applyPage(page);
      boolean isLast = page.records().size() < settings.pageRecords();
      if (fold.complete() && isLast) {
        freshAsOf = requestedAt;
      }
      pollIn(isLast ? settings.gather() : Duration.ZERO, 0);
    } else if (cause instanceof OffsetExpiredException expired) {
      restartAt(expired.firstOffset(), failures);
    } else {
      readFromPeers(failures + 1);
    }
  }

  private void applyPage(LogPage page) {
    if (startedFromPeer && !fold.complete()) {
      restartFold(fold.stateOffset());
    }
    startedFromPeer = false;
    List<StoredRecord> records = page.records();
    if (!records.isEmpty() && records.get(0).offset() > position) {
      restartFold(records.get(0).offset());
    }
    records.forEach(this::apply);
  }

  /** Continues after a gap, when the log no longer retains the records that the fold lacks. */
  private void restartAt(long firstOffset, int failures) {
    if (firstOffset < fold.stateOffset()) {
      LOG.log(
          System.Logger.Level.ERROR,
          "log-follower: {0} ends before offset {1}, which was already read; retrying later",
          stream,
          fold.stateOffset());
      pollLater(failures + 1);
      return;
    }
    LOG.log(
        System.Logger.Level.INFO,
        "log-follower: {0} is retained from offset {1} only; waiting for a snapshot",
        stream,
        firstOffset);
    startedFromPeer = false;
    restartFold(firstOffset);
    poll(0);
  }

  private void restartFold(long firstOffset) {
    fold.restartAt(firstOffset);
    position = firstOffset;
  }

  private void readFromPeers(int failures) {
    readMissed()
        .handleAsync(
            (page, failure) -> {
              if (page != null) {
                applyMissed(page.records());
              }
              pollLater(failures);
              return null;
            },
            foldExecutor)
        .exceptionally(this::logFailure);
  }

  private CompletionStage<LogPage> readMissed() {
    try {
      return missed.read(stream, position, settings.pageRecords());
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private void applyMissed(List<StoredRecord> records) {
    if (records.isEmpty()) {
      return;
    }
    long first = records.get(0).offset();
    if (first > position) {
      if (position > 0) {
        return;
      }
      startedFromPeer = true;
      restartFold(first);
    }
    records.forEach(this::apply);
  }

  private void apply(StoredRecord stored) {
    if (stored.offset() < position) {
      return;
    }
    position = stored.offset() + 1;
    recent.add(stored);
    try {
      LogRecord entry = codec.decode(stored);
      fold.apply(entry);
      listener.recordRead(stream, entry);
    } catch (CodecException e) {
      LOG.log(
          System.Logger.Level.ERROR,
          "log-follower: skipped the unreadable record at offset {0} of {1}",
          stored.offset(),
          stream);
    } catch (RuntimeException e) {
      // A record that makes the fold throw would stop every instance that follows the stream. All
      // instances run the same fold, so all of them skip the record alike.
      LOG.log(
          System.Logger.Level.ERROR,
          "log-follower: skipped the record at offset "
              + stored.offset()
              + " of "
              + stream
              + ", which the fold failed to apply",
          e);
    }
  }

  private void pollLater(int failures) {
    pollIn(backoff.delay(failures), failures);
  }

  private void pollIn(Duration delay, int failures) {
    if (delay.isZero()) {
      poll(failures);
    } else if (!closed) {
      timers.schedule(
          () -> foldExecutor.execute(() -> poll(failures)),
          delay.toMillis(),
          TimeUnit.MILLISECONDS);
    }
  }

  private <T> @Nullable T logFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (!(cause instanceof RejectedExecutionException)) {
      LOG.log(System.Logger.Level.ERROR, "log-follower: stopped following " + stream, failure);
    }
    return null;
  }

  /** Builds a {@link StreamFollower}. */
  public static final class Builder {

    private final StreamName stream;
    private final SnapshotFold fold;
    private final LogClient client;
    private final RecordCodec codec;
    private @Nullable Executor foldExecutor;
    private @Nullable ScheduledExecutorService timers;
    private InstantSource clock = InstantSource.system();
    private RandomGenerator random = RandomGenerator.getDefault();
    private FollowerSettings settings = FollowerSettings.DEFAULT;
    private MissedRecordSource missed = MissedRecordSource.NONE;
    private RecentRecords recent = new RecentRecords(10_000, 4 << 20);
    private RecordListener listener = (stream, entry) -> {};

    private Builder(StreamName stream, SnapshotFold fold, LogClient client, RecordCodec codec) {
      this.stream = stream;
      this.fold = fold;
      this.client = client;
      this.codec = codec;
    }

    /** Sets the executor of the fold, which also calls the listener, and the timers. Required. */
    public Builder executors(Executor fold, ScheduledExecutorService timers) {
      this.foldExecutor = fold;
      this.timers = timers;
      return this;
    }

    /** Sets the clock of {@link StreamFollower#freshAsOf}; the system clock by default. */
    public Builder clock(InstantSource value) {
      this.clock = value;
      return this;
    }

    /** Sets the random source of the backoff jitter, used on the fold executor only. */
    public Builder random(RandomGenerator value) {
      this.random = value;
      return this;
    }

    /** Sets the settings; {@link FollowerSettings#DEFAULT} by default. */
    public Builder settings(FollowerSettings value) {
      this.settings = value;
      return this;
    }

    /** Sets the source of records while the platform is unavailable; none by default. */
    public Builder missed(MissedRecordSource value) {
      this.missed = value;
      return this;
    }

    /** Sets where records are kept for peers; at most 10,000 records or 4 MiB by default. */
    public Builder recent(RecentRecords value) {
      this.recent = value;
      return this;
    }

    /** Sets the listener that is notified of each applied record. */
    public Builder listener(RecordListener value) {
      this.listener = value;
      return this;
    }

    /** Builds the follower; {@link StreamFollower#start()} starts it. */
    public StreamFollower build() {
      Checks.isTrue(foldExecutor != null && timers != null, "executors must be set");
      return new StreamFollower(this);
    }
  }
}

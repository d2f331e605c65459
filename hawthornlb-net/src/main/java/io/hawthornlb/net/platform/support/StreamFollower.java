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
 * Reads one stream by long polls and feeds it to a fold.
 *
 * <p>Through an outage it asks peers for the records that they have read. It stops when closed or
 * when its executors are shut down.
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
  private volatile @Nullable Instant knownAsOf;
  private volatile boolean closed;

  // On the fold executor only: where to read on, and whether the fold started from a peer's
  // records.
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

  /** Starts a follower of a stream; the fold is used on {@link Builder#executors} only. */
  public static Builder builder(
      StreamName stream, SnapshotFold fold, LogClient client, RecordCodec codec) {
    return new Builder(stream, fold, client, codec);
  }

  /** Begins to read at the next offset of the fold. */
  public void start() {
    foldExecutor.execute(
        () -> {
          position = fold.nextOffset();
          poll(0);
        });
  }

  /**
   * Returns when the fold last held everything that the platform had; empty before the first time.
   *
   * <p>The time is that at which the read was sent, so it is never later than the truth.
   */
  public Optional<Instant> knownAsOf() {
    return Optional.ofNullable(knownAsOf);
  }

  @Override
  public void close() {
    closed = true;
  }

  private void poll(int failures) {
    if (closed) {
      return;
    }
    Instant asked = clock.instant();
    read()
        .handleAsync(
            (page, failure) -> {
              answered(asked, page, failure, failures);
              return null;
            },
            foldExecutor)
        .exceptionally(this::stopped);
  }

  private CompletionStage<LogPage> read() {
    try {
      return client.read(stream, readFrom(), settings.pageRecords(), settings.longPoll());
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /**
   * Returns where to read on.
   *
   * <p>A fold that started from the records of a peer may lack a snapshot that the platform still
   * has further back. It would show as an entry that never becomes complete although the platform
   * is back. So such a fold reads from where its state ends, and restarts there.
   */
  private long readFrom() {
    return startedFromPeer && !fold.complete() ? fold.stateOffset() : position;
  }

  private void answered(
      Instant asked, @Nullable LogPage page, @Nullable Throwable failure, int failures) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (page != null) {
      applyPage(page);
      boolean isLast = page.records().size() < settings.pageRecords();
      if (fold.complete() && isLast) {
        knownAsOf = asked;
      }
      pollIn(isLast ? settings.gather() : Duration.ZERO, 0);
    } else if (cause instanceof OffsetExpiredException expired) {
      restartAt(expired.firstOffset(), failures);
    } else {
      askPeers(failures + 1);
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

  /** Goes on after a gap: the log no longer retains what the fold lacks. */
  private void restartAt(long firstOffset, int failures) {
    if (firstOffset < fold.stateOffset()) {
      LOG.log(
          System.Logger.Level.ERROR,
          "log-follower: {0} ends before offset {1}, which was read; reading again later",
          stream,
          fold.stateOffset());
      pollLater(failures + 1);
      return;
    }
    LOG.log(
        System.Logger.Level.INFO,
        "log-follower: {0} is retained from offset {1} only, waiting for a snapshot",
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

  private void askPeers(int failures) {
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
        .exceptionally(this::stopped);
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
          "log-follower: passed over the unreadable record at offset {0} of {1}",
          stored.offset(),
          stream);
    } catch (RuntimeException e) {
      // A record that makes a fold throw would stop every instance that reads the stream. It shows
      // as a fleet that no longer follows. All run the same fold, so all can pass over it.
      LOG.log(
          System.Logger.Level.ERROR,
          "log-follower: passed over offset "
              + stored.offset()
              + " of "
              + stream
              + ", which failed",
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

  private <T> @Nullable T stopped(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (!(cause instanceof RejectedExecutionException)) {
      LOG.log(System.Logger.Level.ERROR, "log-follower: stopped following " + stream, failure);
    }
    return null;
  }

  /** Collects the parts of a {@link StreamFollower}. */
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

    /** Sets the thread of the fold, which also calls the listener, and the timers; required. */
    public Builder executors(Executor fold, ScheduledExecutorService timers) {
      this.foldExecutor = fold;
      this.timers = timers;
      return this;
    }

    /** Sets the clock of {@link StreamFollower#knownAsOf}; the system's by default. */
    public Builder clock(InstantSource value) {
      this.clock = value;
      return this;
    }

    /** Sets the source of jitter, used on the fold executor only. */
    public Builder random(RandomGenerator value) {
      this.random = value;
      return this;
    }

    /** Sets how it reads; {@link FollowerSettings#DEFAULT} by default. */
    public Builder settings(FollowerSettings value) {
      this.settings = value;
      return this;
    }

    /** Sets where to get records while the platform is away; nowhere by default. */
    public Builder missed(MissedRecordSource value) {
      this.missed = value;
      return this;
    }

    /** Sets where to keep what was read for peers; 10,000 records or 4 MiB by default. */
    public Builder recent(RecentRecords value) {
      this.recent = value;
      return this;
    }

    /** Sets who hears of each record. */
    public Builder listener(RecordListener value) {
      this.listener = value;
      return this;
    }

    /** Returns the follower, which has not started. */
    public StreamFollower build() {
      Checks.isTrue(foldExecutor != null && timers != null, "executors must be set");
      return new StreamFollower(this);
    }
  }
}

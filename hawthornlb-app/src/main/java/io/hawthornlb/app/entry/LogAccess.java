package io.hawthornlb.app.entry;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.SnapshotFold;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.net.codec.PartitionTypes;
import io.hawthornlb.net.codec.TypeRegistry;
import io.hawthornlb.net.platform.LogClient;
import io.hawthornlb.net.platform.MissedRecordSource;
import io.hawthornlb.net.platform.RecordListener;
import io.hawthornlb.net.platform.support.FollowerSettings;
import io.hawthornlb.net.platform.support.GroupingLogWriter;
import io.hawthornlb.net.platform.support.HttpPlatformLogClient;
import io.hawthornlb.net.platform.support.RecentRecords;
import io.hawthornlb.net.platform.support.RecordCodec;
import io.hawthornlb.net.platform.support.SharedRecordTypes;
import io.hawthornlb.net.platform.support.StreamFollower;
import io.hawthornlb.net.platform.support.WriterSettings;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Access of one instance to the platform's log: one writer, and one follower for each stream. */
public final class LogAccess implements AutoCloseable {

  private static final int MAX_RECENT_RECORDS = 4_000;
  private static final long MAX_RECENT_BYTES = 2 << 20;

  /**
   * Limits pages to 32 records, since a record contains up to 48 KiB of items.
   *
   * <p>Pages with hundreds of such records exceed the direct memory of a small instance. In that
   * case all reads of a follower fail, although the platform works.
   */
  private static final FollowerSettings FOLLOWER_SETTINGS =
      new FollowerSettings(
          32,
          Duration.ofSeconds(1),
          Duration.ofMillis(20),
          Duration.ofMillis(100),
          Duration.ofSeconds(2));

  private final HttpPlatformLogClient client;
  private final RecordCodec codec;
  private final ScheduledExecutorService timers;
  private final GroupingLogWriter writer;
  private final DecisionLoop loop;
  private final InstantSource clock;
  private final Map<StreamName, RecentRecords> recent = new ConcurrentHashMap<>();

  /** Creates the access, without any follower. */
  public LogAccess(URI platform, DecisionLoop loop, InstantSource clock) {
    this.client = new HttpPlatformLogClient(platform);
    this.codec = new RecordCodec(recordTypes());
    this.loop = loop;
    this.clock = clock;
    this.timers =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "log-timers");
              thread.setDaemon(true);
              return thread;
            });
    this.writer =
        new GroupingLogWriter(
            client, codec, timers, clock, new SplittableRandom(), WriterSettings.DEFAULT);
  }

  /** Returns the client for single reads. */
  public LogClient client() {
    return client;
  }

  /** Returns the codec of records. */
  public RecordCodec codec() {
    return codec;
  }

  /**
   * Appends a record and returns an offset at which the log contains it. A resent record may occur
   * in the log more than once.
   */
  public CompletionStage<Long> append(AppendRecord effect) {
    return writer.append(effect);
  }

  /**
   * Applies the records of a stream to a fold on the decision loop until the follower is closed.
   */
  public StreamFollower follow(
      StreamName stream, SnapshotFold fold, MissedRecordSource missed, RecordListener listener) {
    RecentRecords kept =
        recent.computeIfAbsent(
            stream, key -> new RecentRecords(MAX_RECENT_RECORDS, MAX_RECENT_BYTES));
    StreamFollower follower =
        StreamFollower.builder(stream, fold, client, codec)
            .executors(loop, timers)
            .clock(clock)
            .random(new SplittableRandom())
            .settings(FOLLOWER_SETTINGS)
            .missed(missed)
            .recent(kept)
            .listener(
                (name, entry) -> {
                  writer.seen(name, entry.id(), entry.offset());
                  listener.recordRead(name, entry);
                })
            .build();
    follower.start();
    return follower;
  }

  /** Returns the recent records of a stream, which are kept in memory for peers. */
  public Optional<RecentRecords> recent(StreamName stream) {
    return Optional.ofNullable(recent.get(stream));
  }

  @Override
  public void close() {
    timers.shutdownNow();
    client.close();
  }

  private static TypeRegistry<RecordBody> recordTypes() {
    return PartitionTypes.records(SharedRecordTypes.register(TypeRegistry.builder())).build();
  }
}

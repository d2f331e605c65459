package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.FencedWriter;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.StoreException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs the items of one partition's jobs while this process holds the partition.
 *
 * <p>Failure: a holder is frozen or cut off, another one takes over, and the first wakes up and
 * writes. It would show as an item at two positions. Guard: a holder first fences the partition
 * with its epoch, then reads the log to its end, and only then assigns positions; appends of former
 * holders are refused from the fence on, also those that were on their way.
 */
final class PartitionRunner {

  private static final String WRITER = "runner";

  /** Pause before a failed call to the store is made again. */
  private static final Duration REPEAT = Duration.ofMillis(200);

  /** Longest wait of a read for new jobs while no caller waits for a result. */
  private static final Duration READ_WAIT = Duration.ofSeconds(2);

  /**
   * The same while callers wait, a second at most: each is answered after a read that began later
   * than its call, so that two reads a second serve all of them.
   */
  private static final Duration AWAITED_READ_WAIT = Duration.ofMillis(450);

  /**
   * Time between two records of what running items have gained: what each of them loses at most
   * when all processes are killed. A record costs a call for all items of a partition together.
   */
  private static final Duration SAVE_EVERY = Duration.ofMillis(700);

  /** Events below which a record is not worth its bytes. */
  private static final int SAVED_EVENTS = 10;

  /** Time between two looks for items to give up and jobs to drop. */
  private static final Duration SWEEP_EVERY = Duration.ofSeconds(5);

  /** When items are due if their route names no time. */
  private static final Duration DEFAULT_COMPLETION = Duration.ofSeconds(60);

  private final JobParts parts;
  private final JobReplica replica;
  private final int partition;
  private final long epoch;
  private final HoldNotices notices;
  private final Consumer<PartitionRunner> lost;
  private final RunEstimate estimate = new RunEstimate();
  private final AskWindow window = new AskWindow();
  private final JobAges ages;
  private final Map<String, ItemRun> runs = new HashMap<>();
  private final List<Finished> finished = new ArrayList<>();
  private final List<Finished> inFlight = new ArrayList<>();
  private final Set<String> decided = new HashSet<>();
  private final List<KeyedRecord> waiting = new ArrayList<>();
  private long sequence;
  private boolean writing;
  private boolean stopped;

  private record Finished(Job job, JobResult result) {}

  PartitionRunner(
      JobParts parts,
      JobReplica replica,
      int partition,
      long epoch,
      HoldNotices notices,
      Consumer<PartitionRunner> lost) {
    this.notices = notices;
    this.parts = parts;
    this.replica = replica;
    this.partition = partition;
    this.epoch = epoch;
    this.lost = lost;
    this.ages = new JobAges(parts.clock());
  }

  /** Fences former holders, then begins. */
  void start() {
    if (stopped) {
      return;
    }
    parts
        .store()
        .append(new AppendCall(JobReplicas.TOPIC, partition, List.of(), writer()))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure == null) {
                parts
                    .log()
                    .important("job", "partition.held")
                    .with("partition", partition)
                    .with("epoch", epoch)
                    .write();
                notices.held(partition, epoch);
                catchUp();
              } else {
                storeFailed("fence", failure, this::start);
              }
            },
            parts.executor());
  }

  /** Ends all runs; what they produced so far is lost. */
  void stop() {
    stopped = true;
    replica.followed(false);
    window.close();
    runs.values().forEach(ItemRun::stop);
    runs.clear();
  }

  /** Returns the epoch under which this process holds the partition. */
  long epoch() {
    return epoch;
  }

  private FencedWriter writer() {
    return new FencedWriter(WRITER, epoch, sequence);
  }

  private void catchUp() {
    replica
        .refresh()
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure == null) {
                replica.followed(true);
                begin();
                follow();
                saveLater();
                sweepLater();
              } else {
                storeFailed("read", failure, this::catchUp);
              }
            },
            parts.executor());
  }

  private void follow() {
    readOn(replica.awaited() ? AWAITED_READ_WAIT : READ_WAIT);
  }

  private void readOn(Duration wait) {
    if (stopped) {
      return;
    }
    replica
        .read(wait)
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure == null) {
                begin();
                follow();
              } else {
                // Without waiting, so that it shows at once when the store answers again.
                storeFailed("read", failure, () -> readOn(Duration.ZERO));
              }
            },
            parts.executor());
  }

  /** Starts the items that have neither a result nor a run, and stops those of ended jobs. */
  private void begin() {
    if (stopped) {
      return;
    }
    for (Job job : List.copyOf(replica.table().all())) {
      for (JobItem item : job.items()) {
        if (job.ended()) {
          stopRun(item);
        } else if (job.offered(item.id()).isPresent()) {
          stopRun(item);
          finish(job, job.offered(item.id()).get());
        } else if (!job.listed(item.id()) && !runs.containsKey(item.id())) {
          ItemRun run =
              new ItemRun(parts, job, item, epoch, due(job), estimate, window, new Outcomes(job));
          runs.put(item.id(), run);
          run.start();
        }
      }
    }
  }

  private void stopRun(JobItem item) {
    ItemRun run = runs.remove(item.id());
    if (run != null) {
      run.stop();
    }
  }

  private Instant due(Job job) {
    Duration completion =
        parts
            .config()
            .current()
            .flatMap(config -> config.jobRoute(job.host()))
            .map(Route::completion)
            .orElse(DEFAULT_COMPLETION);
    return job.accepted().plus(completion);
  }

  /** Receives what becomes of the items of a job. */
  private final class Outcomes implements ItemOutcome {

    private final Job job;

    private Outcomes(Job job) {
      this.job = job;
    }

    @Override
    public void done(JobItem item, JobResult result) {
      finish(job, result);
    }

    @Override
    public void failed(JobItem item, int count) {
      JobRecords.Failures failures = new JobRecords.Failures(item.id(), count);
      waiting.add(JobRecords.failures(job.id(), failures, epoch));
      write();
    }
  }

  /** Lists a result, unless the item has one or is about to. */
  private void finish(Job job, JobResult result) {
    if (!job.listed(result.itemId()) && decided.add(decision(job, result.itemId()))) {
      finished.add(new Finished(job, result));
      write();
    }
  }

  private static String decision(Job job, String itemId) {
    return job.id() + "/" + itemId;
  }

  private void saveLater() {
    parts.executor().schedule(this::save, SAVE_EVERY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void save() {
    if (stopped) {
      return;
    }
    if (!writing) {
      List<KeyedRecord> records = Restoration.next(replica.table(), partition, parts.log());
      if (records.isEmpty()) {
        records = gained(SAVED_EVENTS);
      }
      if (!records.isEmpty()) {
        writing = true;
        append(records);
      }
    }
    saveLater();
  }

  private void sweepLater() {
    parts.executor().schedule(this::sweep, SWEEP_EVERY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void sweep() {
    if (stopped) {
      return;
    }
    ages.note(replica.table().all());
    for (Job job : List.copyOf(replica.table().all())) {
      giveUpOld(job);
    }
    dropOld();
    sweepLater();
  }

  /** Gives up the items of a job that are past the time for which they are kept. */
  private void giveUpOld(Job job) {
    Optional<Duration> kept =
        parts
            .config()
            .current()
            .flatMap(config -> config.jobRoute(job.host()))
            .map(Route::retention);
    if (kept.isEmpty() || job.ended() || !ages.olderThan(job, kept.get())) {
      return;
    }
    for (JobItem item : job.items()) {
      ItemRun run = runs.get(item.id());
      if (run != null && !job.listed(item.id()) && run.running()) {
        run.stop();
        finish(job, new JobResult(item.id(), false, ""));
      }
    }
  }

  /** Drops the records of jobs whose results need no longer be readable. */
  private void dropOld() {
    if (writing) {
      return;
    }
    List<KeyedRecord> drops = new ArrayList<>();
    for (Job job : replica.table().all()) {
      boolean over = job.ended() || job.complete();
      if (over && ages.olderThan(job, parts.resultRetention())) {
        replica.table().keys(job.id()).forEach(key -> drops.add(new KeyedRecord(key, null)));
      }
    }
    if (!drops.isEmpty()) {
      writing = true;
      append(AppendSize.parts(drops).get(0));
    }
  }

  private List<KeyedRecord> gained(int leastEvents) {
    List<KeyedRecord> records = new ArrayList<>();
    AppendSize size = new AppendSize();
    for (ItemRun run : runs.values()) {
      Optional<KeyedRecord> record =
          run.gained(leastEvents).map(gained -> JobRecords.gained(run.job().id(), gained));
      record.ifPresent(records::add);
      if (!size.add(record.stream().toList())) {
        break;
      }
    }
    return records;
  }

  /**
   * Leaves what items have gained and results that wait to the next holder, then stops; for a
   * holder that gives the partition away.
   */
  void handOver() {
    if (!stopped) {
      List<KeyedRecord> records = unlisted();
      records.addAll(gained(1));
      new Relinquishment(parts, partition, records).write();
    }
    stop();
  }

  /** Leaves results that wait to the process that holds the partition by now, then stops. */
  void giveUp() {
    if (!stopped) {
      new Relinquishment(parts, partition, unlisted()).write();
    }
    stop();
  }

  /** Returns the results and failures that may not be in the log yet. */
  private List<KeyedRecord> unlisted() {
    List<KeyedRecord> records = new ArrayList<>(waiting);
    for (Finished each : inFlight) {
      records.add(JobRecords.offer(each.job().id(), each.result()));
    }
    for (Finished each : finished) {
      records.add(JobRecords.offer(each.job().id(), each.result()));
    }
    return records;
  }

  /**
   * Writes all results and failures that wait in one append; one append is on its way at a time.
   */
  private void write() {
    if (writing || stopped || (finished.isEmpty() && waiting.isEmpty())) {
      return;
    }
    writing = true;
    List<KeyedRecord> records = new ArrayList<>(waiting);
    waiting.clear();
    AppendSize size = new AppendSize();
    boolean room = size.add(records);
    Map<String, Integer> next = new HashMap<>();
    Iterator<Finished> results = finished.iterator();
    while (room && results.hasNext()) {
      Finished each = results.next();
      results.remove();
      inFlight.add(each);
      List<KeyedRecord> listed = listed(each, next);
      records.addAll(listed);
      room = size.add(listed);
    }
    append(records);
  }

  /** Returns what lists a result behind those of its job. */
  private List<KeyedRecord> listed(Finished each, Map<String, Integer> next) {
    String jobId = each.job().id();
    // A result behind a gap that another writer made keeps its position.
    int position = each.job().freePosition(next.getOrDefault(jobId, each.job().resultCount()));
    next.put(jobId, position + 1);
    List<KeyedRecord> records = new ArrayList<>();
    records.add(JobRecords.result(jobId, position, each.result()));
    records.addAll(withoutRest(jobId, each.result().itemId()));
    return records;
  }

  /**
   * Returns what drops the progress and the offer of an item that has its result.
   *
   * <p>Kept, it would double what a process has to load that takes the partition over: an item is
   * recorded several times, up to its last event.
   */
  private List<KeyedRecord> withoutRest(String jobId, String itemId) {
    return replica.table().keys(jobId).stream()
        .filter(key -> JobRecords.neededUntilResult(key, itemId))
        .map(key -> new KeyedRecord(key, null))
        .toList();
  }

  private void append(List<KeyedRecord> records) {
    if (stopped) {
      return;
    }
    parts
        .store()
        .append(new AppendCall(JobReplicas.TOPIC, partition, records, writer()))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure == null) {
                written(records);
              } else {
                // The same sequence number again: an append that was carried out is not repeated.
                storeFailed("append", failure, () -> append(records));
              }
            },
            parts.executor());
  }

  private void written(List<KeyedRecord> records) {
    sequence++;
    writing = false;
    inFlight.forEach(each -> decided.remove(decision(each.job(), each.result().itemId())));
    inFlight.clear();
    for (KeyedRecord record : records) {
      replica.take(record);
      if (record.value() != null && JobRecords.key(record.key()).result()) {
        runs.remove(JobRecords.result(record.value()).itemId());
      }
    }
    write();
  }

  private void storeFailed(String what, Throwable failure, Runnable again) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    StoreException.Kind kind =
        cause instanceof StoreException store ? store.kind() : StoreException.Kind.UNKNOWN;
    parts.metrics().count("store.failed", what + " " + kind.name());
    parts
        .log()
        .important("job", "partition.store.failed")
        .with("partition", partition)
        .with("call", what)
        .with("kind", kind.name())
        .with("cause", String.valueOf(cause == null ? failure : cause.getMessage()))
        .write();
    if (kind == StoreException.Kind.FENCED || kind == StoreException.Kind.OUT_OF_SEQUENCE) {
      giveUp();
      lost.accept(this);
    } else if (!stopped) {
      parts.executor().schedule(again, REPEAT.toMillis(), TimeUnit.MILLISECONDS);
    }
  }
}

package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.FencedWriter;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.StoreException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Runs the items of one partition's jobs while this process holds the partition.
 *
 * <p>A holder may be frozen or cut off while another process takes the partition over, and may
 * later wake up and write. An item would then be listed at two positions. Therefore a holder first
 * fences the partition with its epoch, then reads the log to its end, and only then assigns
 * positions. From the fence on the store refuses appends of former holders, including appends that
 * were already under way.
 */
final class PartitionRunner {

  /** Name under which all holders of a partition write. */
  static final String WRITER = "runner";

  /** Pause before a failed call to the store is retried. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

  /** Longest time for which a read waits for new records while no caller waits for a result. */
  private static final Duration READ_WAIT = Duration.ofSeconds(2);

  /**
   * Longest time for which a read waits for new records while callers wait for results; they wait a
   * second at most. Each caller is answered after a read that began later than its call, so two
   * reads a second serve all of them.
   */
  private static final Duration AWAITED_READ_WAIT = Duration.ofMillis(450);

  /**
   * Interval at which the progress of running items is recorded, which is the most that each item
   * loses when all processes are killed. One append records all items of a partition.
   */
  private static final Duration SAVE_INTERVAL = Duration.ofMillis(700);

  /** Minimum number of new events for which a progress record is worth its bytes. */
  private static final int MIN_SAVED_EVENTS = 10;

  /** Interval at which items are checked for having lost their route. */
  private static final Duration ROUTE_CHECK_INTERVAL = Duration.ofSeconds(1);

  /** Interval at which items are checked for being too old and jobs for being no longer needed. */
  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(5);

  private final JobParts parts;
  private final JobReplica replica;
  private final int partition;
  private final long epoch;
  private final HoldNotices notices;
  private final Listener listener;
  private final StoreFailures failures;
  private final RunEstimate estimate = new RunEstimate();
  private final LogRecency recency;
  private final SlotRequestLimiter limiter = new SlotRequestLimiter(() -> !behind());
  private final JobAges ages;
  private final ItemExpiry expiry;
  private final ItemRuns runs = new ItemRuns();
  private final List<Finished> finished = new ArrayList<>();
  private final List<Finished> inFlight = new ArrayList<>();
  private final Set<String> resultDecided = new HashSet<>();
  private final List<KeyedRecord> waitingRecords = new ArrayList<>();
  private long sequence;
  private boolean writing;
  private boolean stopped;

  private record Finished(Job job, JobResult result) {}

  /** Receives what the store has decided about the holder. */
  interface Listener {

    /** Called when the store has fenced former holders. */
    void onHeld();

    /** Called when the store has refused a call of the holder, which has ended. */
    void onRefused(PartitionRunner refused);
  }

  /** Creates the runner of a holder that has claimed the partition. */
  PartitionRunner(
      JobParts parts,
      JobReplica replica,
      int partition,
      HoldClaim claim,
      HoldNotices notices,
      Listener listener) {
    this.notices = notices;
    this.parts = parts;
    this.replica = replica;
    this.partition = partition;
    this.epoch = claim.epoch();
    this.sequence = claim.firstSequence();
    this.listener = listener;
    this.failures = new StoreFailures(parts, partition);
    this.recency = new LogRecency(parts.clock().instant());
    this.ages = new JobAges(parts.clock());
    this.expiry = new ItemExpiry(parts, ages);
  }

  /** Fences former holders, then reads the log and starts the items. */
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
                listener.onHeld();
                notices.held(partition, epoch);
                catchUp();
              } else {
                onStoreFailure("fence", failure, this::start);
              }
            },
            parts.executor());
  }

  /** Stops all runs; the output that is not recorded is lost. */
  void stop() {
    if (stopped) {
      return;
    }
    stopped = true;
    replica.followed(false);
    replica.onWrittenHere(() -> {});
    limiter.close();
    runs.stopAll();
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
              if (stopped) {
                return;
              }
              if (failure == null) {
                replica.followed(true);
                replica.onWrittenHere(this::startItems);
                onRead();
                scheduleSave();
                scheduleSweep();
                scheduleRouteCheck();
              } else {
                onStoreFailure("read", failure, this::catchUp);
              }
            },
            parts.executor());
  }

  /** Handles what a read to the end of the log has brought. */
  private void onRead() {
    recency.onRead(parts.clock().instant());
    scheduleRead();
    startItems();
    limiter.resume();
  }

  /** Takes note that the store has answered a call of this process other than a read. */
  void onStoreAnswer() {
    boolean before = behind();
    recency.onAnswer(parts.clock().instant());
    if (behind() && !before) {
      parts.metrics().count("partitions", "behind");
      parts
          .log()
          .important("job", "partition.behind")
          .with("partition", partition)
          .with("lagMillis", recency.lag().toMillis())
          .write();
    }
  }

  /** Returns whether items wait, since the end of their job may not have been read. */
  private boolean behind() {
    return recency.tooOld();
  }

  private void scheduleRead() {
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
                onRead();
              } else {
                // This read does not wait for records, so that it succeeds as soon as the store
                // responds again.
                onStoreFailure("read", failure, () -> readOn(Duration.ZERO));
              }
            },
            parts.executor());
  }

  /** Starts the items that have neither a result nor a run, and stops the items of ended jobs. */
  private void startItems() {
    if (stopped) {
      return;
    }
    for (Job job : List.copyOf(replica.table().all())) {
      if (job.ended()) {
        stopRuns(job);
      } else {
        startItems(job);
      }
    }
    runs.stopWithoutJob(replica.table());
  }

  private void startItems(Job job) {
    for (JobItem item : job.items()) {
      if (job.offered(item.id()).isPresent()) {
        runs.stop(job, item);
        finish(job, job.offered(item.id()).get());
      } else if (!job.listed(item.id()) && !runs.contains(job, item)) {
        ItemRun run = new ItemRun(parts, job, item, epoch, estimate, limiter, new Outcomes(job));
        expiry.added(runs.add(run), run);
        run.start();
      }
    }
  }

  /** Stops the runs of a job that its caller has ended. */
  private void stopRuns(Job job) {
    long stopped = runs.stopJob(job);
    if (stopped > 0) {
      parts
          .log()
          .important("job", "job.stopped")
          .with("job", job.callerId())
          .with("partition", partition)
          .with("runs", stopped)
          .write();
    }
  }

  /** Handles the outcome of the items of a job. */
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
    public void endpointFailed(JobItem item, int count) {
      JobRecords.Failures failures = new JobRecords.Failures(item.id(), count);
      waitingRecords.add(JobRecords.failures(job.id(), failures, epoch));
      write();
    }
  }

  /** Queues a result to be listed, unless the item has a result or one is already queued. */
  private void finish(Job job, JobResult result) {
    if (!job.listed(result.itemId())
        && resultDecided.add(ItemRuns.key(job.id(), result.itemId()))) {
      finished.add(new Finished(job, result));
      write();
    }
  }

  private void scheduleSave() {
    parts.executor().schedule(this::save, SAVE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void save() {
    if (stopped) {
      return;
    }
    if (!writing) {
      List<KeyedRecord> records = Restoration.next(replica.table(), partition, parts.log());
      if (records.isEmpty()) {
        records = runs.progressRecords(MIN_SAVED_EVENTS);
      }
      if (!records.isEmpty()) {
        writing = true;
        append(records);
      }
    }
    scheduleSave();
  }

  private void scheduleSweep() {
    parts.executor().schedule(this::sweep, SWEEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void sweep() {
    if (stopped) {
      return;
    }
    ages.update(replica.table().all());
    giveUpExpiredItems();
    deleteOldJobs();
    scheduleSweep();
  }

  private void scheduleRouteCheck() {
    parts
        .executor()
        .schedule(this::checkRoutes, ROUTE_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void checkRoutes() {
    if (stopped) {
      return;
    }
    if (expiry.routesInDoubt()) {
      giveUpExpiredItems();
    }
    scheduleRouteCheck();
  }

  private void giveUpExpiredItems() {
    expiry.retain(runs.keys());
    runs.copy()
        .forEach((key, run) -> expiry.cause(key, run).ifPresent(cause -> giveUp(run, cause)));
  }

  private void giveUp(ItemRun run, String cause) {
    run.giveUp(cause);
    finish(run.job(), new JobResult(run.item().id(), false, ""));
  }

  /** Deletes the records of finished jobs whose results no longer need to be readable. */
  private void deleteOldJobs() {
    if (writing) {
      return;
    }
    List<KeyedRecord> deletions = new ArrayList<>();
    for (Job job : replica.table().all()) {
      boolean over = job.ended() || job.complete();
      if (over && ages.olderThan(job, parts.resultRetention())) {
        replica.table().keys(job.id()).forEach(key -> deletions.add(new KeyedRecord(key, null)));
      }
    }
    if (!deletions.isEmpty()) {
      writing = true;
      append(AppendSize.parts(deletions).get(0));
    }
  }

  /**
   * Hands the items' progress and the unwritten results over to the next holder, then stops. Called
   * while this process still holds the partition.
   */
  void handOver() {
    if (!stopped) {
      List<KeyedRecord> records = unwrittenRecords();
      records.addAll(runs.progressRecords(1));
      new Relinquishment(parts, partition, records).write();
    }
    stop();
  }

  /**
   * Hands the unwritten results over to the process that holds the partition by now, then stops.
   */
  void abandon() {
    if (!stopped) {
      new Relinquishment(parts, partition, unwrittenRecords()).write();
    }
    stop();
  }

  /** Returns offers of the results, and the failure counts, that may not be in the log yet. */
  private List<KeyedRecord> unwrittenRecords() {
    List<KeyedRecord> records = new ArrayList<>(waitingRecords);
    for (Finished each : inFlight) {
      records.add(JobRecords.offer(each.job().id(), each.result()));
    }
    for (Finished each : finished) {
      records.add(JobRecords.offer(each.job().id(), each.result()));
    }
    return records;
  }

  /**
   * Writes all waiting results and failure counts in one append, unless an append is already in
   * progress.
   */
  private void write() {
    if (writing || stopped || (finished.isEmpty() && waitingRecords.isEmpty())) {
      return;
    }
    writing = true;
    List<KeyedRecord> records = new ArrayList<>(waitingRecords);
    waitingRecords.clear();
    AppendSize size = new AppendSize();
    boolean room = size.add(records);
    ResultListing listing = new ResultListing(replica.table());
    Iterator<Finished> results = finished.iterator();
    while (room && results.hasNext()) {
      Finished each = results.next();
      results.remove();
      inFlight.add(each);
      List<KeyedRecord> listed = listing.add(each.job(), each.result());
      records.addAll(listed);
      room = size.add(listed);
    }
    append(records);
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
                onWritten(records);
              } else {
                // The retry uses the same sequence number, so the store does not carry an append
                // out twice.
                onStoreFailure("append", failure, () -> append(records));
              }
            },
            parts.executor());
  }

  private void onWritten(List<KeyedRecord> records) {
    onStoreAnswer();
    sequence++;
    writing = false;
    inFlight.forEach(
        each -> resultDecided.remove(ItemRuns.key(each.job().id(), each.result().itemId())));
    inFlight.clear();
    for (KeyedRecord record : records) {
      replica.apply(record);
      JobRecords.Key key = JobRecords.key(record.key());
      if (record.value() != null && key.result()) {
        runs.remove(key.jobId(), JobRecords.result(record.value()).itemId());
      }
    }
    write();
  }

  private void onStoreFailure(String call, Throwable failure, Runnable retry) {
    StoreException.Kind kind = failures.report(call, failure);
    if (refusal(kind)) {
      abandon();
      listener.onRefused(this);
    } else if (!stopped) {
      parts.executor().schedule(retry, RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Returns whether a failure means that another process may write to the partition. */
  static boolean refusal(StoreException.Kind kind) {
    return kind == StoreException.Kind.FENCED || kind == StoreException.Kind.OUT_OF_SEQUENCE;
  }
}

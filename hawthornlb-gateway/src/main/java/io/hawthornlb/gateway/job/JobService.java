package io.hawthornlb.gateway.job;

import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.front.Responder;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.StoreException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Answers calls about jobs, at any process.
 *
 * <p>Submitted and ended jobs are in the log before the caller gets the response. Results are
 * returned only once they are in the log.
 */
final class JobService {

  /** Bytes of result texts in one page; the interface contract limits a page to 1 MB. */
  private static final int PAGE_BYTES = 900_000;

  /** Longest time for which an append is retried; callers wait longer than this. */
  private static final Duration APPEND_TIME = Duration.ofMillis(3_000);

  /** Retry delay that is sent to the caller if the store cannot be reached. */
  private static final Duration STORE_RETRY = Duration.ofMillis(400);

  /**
   * Pause before an append is retried. No pause follows an attempt with an unknown outcome that
   * itself took at least this long.
   */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

  /** Shortest remaining wait that is worth another call to the store. */
  private static final Duration MIN_WAIT = Duration.ofMillis(20);

  private final JobReplicas replicas;
  private final LogStore store;
  private final JobFormat format;
  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final EventLog log;

  JobService(
      JobReplicas replicas,
      LogStore store,
      JobFormat format,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log) {
    this.replicas = replicas;
    this.store = store;
    this.format = format;
    this.executor = executor;
    this.clock = clock;
    this.log = log;
  }

  /** Answers a call from the jobs that this process has read, and reads the log where needed. */
  void answer(JobCall call, FrontRequest request, Responder responder) {
    if (call instanceof JobCall.Submit submit) {
      submit(submit, request, responder);
    } else if (call instanceof JobCall.Read read) {
      read(read, request.arrived(), responder);
    } else if (call instanceof JobCall.ReadBody body) {
      readBody(body, responder);
    } else {
      end(call.jobId(), request.arrived(), responder);
    }
  }

  private void submit(JobCall.Submit submit, FrontRequest request, Responder responder) {
    JobReplica replica = replicas.of(submit.jobId());
    if (find(replica, submit.jobId()).isPresent()) {
      logStatus("job.known", submit.jobId(), 202);
      responder.sendStatus(202, null);
      return;
    }
    Workspace workspace = request.workspace();
    Job job =
        new Job(
            submit.jobId(),
            request.host(),
            clock.instant(),
            submit.items(),
            workspace == null ? null : workspace.id());
    List<KeyedRecord> records = JobRecords.accepted(job);
    append(new Write(submit.jobId(), records, request.arrived(), responder, 202, false));
  }

  private void end(String jobId, Instant arrived, Responder responder) {
    withKnownJob(
        jobId,
        responder,
        job -> {
          List<KeyedRecord> records = List.of(JobRecords.end(job.id()));
          append(new Write(job.id(), records, arrived, responder, 200, false));
        });
  }

  /**
   * Records that must be in the log before a caller gets its response.
   *
   * @param status status of the response once the records are written
   * @param maybeWritten whether an earlier attempt got no response and may have been carried out
   */
  private record Write(
      String jobId,
      List<KeyedRecord> records,
      Instant arrived,
      Responder responder,
      int status,
      boolean maybeWritten) {

    private long millis(Instant now) {
      return Duration.between(arrived, now).toMillis();
    }

    private Write withUnknownOutcome() {
      return new Write(jobId, records, arrived, responder, status, true);
    }
  }

  /**
   * Appends the records and retries until the store has them. Appending them twice does no harm.
   */
  private void append(Write write) {
    int partition = replicas.partition(write.jobId());
    Instant began = clock.instant();
    store
        .append(new AppendCall(JobReplicas.TOPIC, partition, write.records(), null))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure == null) {
                applyToKnownJob(write);
                logStatus("job.written", write.jobId(), write.status());
                write.responder().sendStatus(write.status(), null);
              } else {
                appendFailed(failure, write, began);
              }
            },
            executor);
  }

  /**
   * Applies written records to the replica, which may read them much later. A job that the replica
   * does not contain is left out, since this process may not read its partition.
   */
  private void applyToKnownJob(Write write) {
    JobReplica replica = replicas.of(write.jobId());
    if (find(replica, write.jobId()).isPresent()) {
      replica.applyWritten(write.records());
    }
  }

  /**
   * Retries the append for {@link #APPEND_TIME}, then responds with an error.
   *
   * <p>The store may be unavailable to all processes for seconds. A caller that is refused at once
   * retries a moment later, is refused again, and its job is lost.
   *
   * <p>An attempt may get no response and be carried out all the same, while the next attempt is
   * refused. Passing this refusal on would tell the caller that a running job does not run.
   * Therefore 503, which says that nothing was done, is sent only if no attempt may have been
   * carried out; otherwise the caller gets 502.
   */
  private void appendFailed(Throwable failure, Write write, Instant began) {
    boolean notDone = kind(failure) == StoreException.Kind.NOT_DONE;
    Duration elapsed = Duration.between(began, clock.instant());
    Write next = notDone ? write : write.withUnknownOutcome();
    log.important("job", "append.failed")
        .with("id", JobScope.callerId(write.jobId()))
        .with("done", notDone ? "no" : "unknown")
        .with("earlierTries", write.maybeWritten() ? "unknown" : "no")
        .with("tryMillis", elapsed.toMillis())
        .with("millis", write.millis(clock.instant()))
        .with("cause", failure.getMessage())
        .write();
    if (clock.instant().isBefore(write.arrived().plus(APPEND_TIME))) {
      // An attempt with an unknown outcome that took at least the pause is repeated immediately.
      Duration pause = notDone || elapsed.compareTo(RETRY_PAUSE) < 0 ? RETRY_PAUSE : Duration.ZERO;
      executor.schedule(() -> append(next), pause.toMillis(), TimeUnit.MILLISECONDS);
    } else if (next.maybeWritten()) {
      // The records may be in the log or may still arrive there, so the response promises nothing.
      refuse(write, 502, null);
    } else {
      refuse(write, 503, STORE_RETRY);
    }
  }

  private void refuse(Write write, int status, @Nullable Duration retryAfter) {
    log.important("job", "job.not.written")
        .with("id", JobScope.callerId(write.jobId()))
        .with("status", status)
        .with("millis", write.millis(clock.instant()))
        .write();
    write.responder().sendStatus(status, retryAfter);
  }

  private void read(JobCall.Read read, Instant arrived, Responder responder) {
    withKnownJob(read.jobId(), responder, job -> sendPage(job, read, arrived, responder));
  }

  private void sendPage(Job job, JobCall.Read read, Instant arrived, Responder responder) {
    List<JobResult> page = job.page(read.after(), PAGE_BYTES);
    if (!page.isEmpty() || read.after() >= job.items().size()) {
      send(job, read, page, responder);
    } else {
      waitForResult(job, read, arrived, responder);
    }
  }

  /**
   * Waits for a result, and responds without one only after the log was read to its end.
   *
   * <p>A caller may read a result at one process, and then ask for the same position at a second
   * process that has read less of the log. To the caller the result would have disappeared.
   * Therefore a process says that there is no result only after a read of the log that began later
   * than the call. If the log cannot be read, the caller gets 503 instead.
   */
  private void waitForResult(Job job, JobCall.Read read, Instant arrived, Responder responder) {
    JobReplica replica = replicas.of(job.id());
    Wait wait = new Wait(job, read, arrived, replica, replica.readsBegun(), responder);
    if (replica.followed()) {
      awaitHolderReads(wait);
    } else {
      readLog(wait);
    }
  }

  /**
   * A call that waits for a result.
   *
   * @param readsBefore number of reads of the log that had begun when the call started to wait
   */
  private record Wait(
      Job job,
      JobCall.Read read,
      Instant arrived,
      JobReplica replica,
      long readsBefore,
      Responder responder) {

    private Duration remaining(Instant now) {
      Duration remaining = read.waitTime().minus(Duration.between(arrived, now));
      return remaining.minus(MIN_WAIT).isNegative() ? Duration.ZERO : remaining;
    }
  }

  /**
   * Waits for the reads that the holder of the partition makes anyway.
   *
   * <p>Callers wait for results of hundreds of jobs, and each new record of a partition ends all
   * their reads. One read for each partition serves all of them.
   */
  private void awaitHolderReads(Wait wait) {
    if (respondIfDue(wait, wait.replica().caughtUpSince(wait.readsBefore()))) {
      return;
    }
    Duration remaining = wait.remaining(clock.instant());
    if (remaining.isZero()) {
      readLog(wait);
      return;
    }
    CompletableFuture<Void> woken = new CompletableFuture<>();
    executor.schedule(() -> woken.complete(null), remaining.toMillis(), TimeUnit.MILLISECONDS);
    wait.replica().nextRead().whenComplete((any, failure) -> woken.complete(null));
    woken.thenRunAsync(() -> awaitHolderReads(wait), executor);
  }

  private void readLog(Wait wait) {
    wait.replica()
        .read(wait.remaining(clock.instant()))
        .whenCompleteAsync(
            (done, failure) -> {
              if (respondIfDue(wait, failure == null)) {
                return;
              }
              if (failure != null) {
                logUnsure(wait.job().id(), failure);
                wait.responder().sendStatus(503, STORE_RETRY);
              } else {
                readLog(wait);
              }
            },
            executor);
  }

  /**
   * Responds if there is a result or if the wait time is over; returns whether a response was sent.
   *
   * @param upToDate whether a read that began after the call has reached the end of the log
   */
  private boolean respondIfDue(Wait wait, boolean upToDate) {
    Job job = wait.replica().table().find(wait.job().id()).orElse(wait.job());
    List<JobResult> page = job.page(wait.read().after(), PAGE_BYTES);
    boolean over = upToDate && wait.remaining(clock.instant()).isZero();
    if (page.isEmpty() && !over) {
      return false;
    }
    send(job, wait.read(), page, wait.responder());
    return true;
  }

  private void send(Job job, JobCall.Read read, List<JobResult> page, Responder responder) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, format.resultsType());
    byte[] body = format.results(job.items().size(), read.after(), page);
    log.routine("job", "job.read")
        .with("id", job.callerId())
        .with("after", read.after())
        .with("results", page.size())
        .write();
    responder.whole(200, headers, body);
  }

  private void readBody(JobCall.ReadBody call, Responder responder) {
    withKnownJob(call.jobId(), responder, job -> sendBody(job, call.itemId(), responder));
  }

  private void sendBody(Job job, String itemId, Responder responder) {
    Optional<JobItem> item = job.item(itemId);
    if (item.isEmpty() || job.listed(itemId) || job.ended()) {
      responder.sendStatus(404, null);
    } else {
      responder.whole(200, new DefaultHttpHeaders(), item.get().body());
    }
  }

  /** Runs an action with a job. Responds with 404 only after the log was read to its end. */
  private void withKnownJob(String jobId, Responder responder, Consumer<Job> action) {
    JobReplica replica = replicas.of(jobId);
    Optional<Job> known = find(replica, jobId);
    if (known.isPresent()) {
      action.accept(known.get());
      return;
    }
    CompletionStage<Void> refreshed = replica.refresh();
    refreshed.whenCompleteAsync(
        (done, failure) -> {
          Optional<Job> found = find(replica, jobId);
          if (found.isPresent()) {
            action.accept(found.get());
          } else if (failure != null || maybeAccepted(replica, jobId)) {
            logUnsure(jobId, failure);
            responder.sendStatus(503, STORE_RETRY);
          } else {
            logStatus("job.unknown", jobId, 404);
            responder.sendStatus(404, null);
          }
        },
        executor);
  }

  /**
   * Returns a job of the caller, or one that a version without workspaces accepted; every workspace
   * that knows the id of the latter finds it.
   */
  private static Optional<Job> find(JobReplica replica, String jobId) {
    JobTable table = replica.table();
    return table
        .find(jobId)
        .or(() -> table.find(JobScope.callerId(jobId)).filter(Job::fromFormerVersion));
  }

  private static boolean maybeAccepted(JobReplica replica, String jobId) {
    JobTable table = replica.table();
    return table.maybeAccepted(jobId) || table.maybeAccepted(JobScope.callerId(jobId));
  }

  private static StoreException.Kind kind(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof StoreException store ? store.kind() : StoreException.Kind.UNKNOWN;
  }

  /**
   * Logs why nobody can say yet whether a job or its next result exists.
   *
   * @param failure why the log could not be read; null if it was read and the job's records are
   *     incomplete
   */
  private void logUnsure(String jobId, @Nullable Throwable failure) {
    String cause = failure == null ? "its records are incomplete" : failure.toString();
    statusLine("job.unsure", jobId, 503).with("cause", cause).write();
  }

  private void logStatus(String event, String jobId, int status) {
    statusLine(event, jobId, status).write();
  }

  private EventLine statusLine(String event, String jobId, int status) {
    return log.important("job", event)
        .with("id", JobScope.callerId(jobId))
        .with("status", status)
        .with("partition", replicas.partition(jobId));
  }
}

package io.hawthornlb.gateway.job;

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
 * Answers calls about jobs at any process: what was accepted or ended is in the log before the
 * caller hears of it, and results are shown once they are in the log.
 */
final class JobService {

  /** Bytes of texts in one page of results; the contract bounds a page at 1 MB. */
  private static final int PAGE_BYTES = 900_000;

  /** Longest time that appends are repeated; callers wait longer. */
  private static final Duration APPEND_TIME = Duration.ofMillis(3_000);

  /** When to come back if the store cannot be asked. */
  private static final Duration STORE_RETRY = Duration.ofMillis(400);

  /** Pause before an append that was answered is tried again. */
  private static final Duration REPEAT = Duration.ofMillis(200);

  /** Wait for a result that is worth another call to the store. */
  private static final Duration LEAST_WAIT = Duration.ofMillis(20);

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

  /** Answers a call from what this process has read and reads of the log. */
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
    if (replica.table().find(submit.jobId()).isPresent()) {
      logged("job.known", submit.jobId(), 202);
      responder.sendStatus(202, null);
      return;
    }
    Job job = new Job(submit.jobId(), request.host(), clock.instant(), submit.items());
    List<KeyedRecord> records = JobRecords.accepted(job);
    append(new Write(submit.jobId(), records, request.arrived(), responder, 202, false));
  }

  private void end(String jobId, Instant arrived, Responder responder) {
    List<KeyedRecord> records = List.of(JobRecords.end(jobId));
    Write write = new Write(jobId, records, arrived, responder, 200, false);
    withJob(jobId, responder, job -> append(write));
  }

  /**
   * What a caller waits to be written.
   *
   * @param status status that tells the caller that it is written
   * @param perhapsDone whether an earlier try got no answer, and may have been carried out
   */
  private record Write(
      String jobId,
      List<KeyedRecord> records,
      Instant arrived,
      Responder responder,
      int status,
      boolean perhapsDone) {

    private long millis(Instant now) {
      return Duration.between(arrived, now).toMillis();
    }

    private Write afterNoAnswer() {
      return new Write(jobId, records, arrived, responder, status, true);
    }
  }

  /** Appends until the store has taken it, since taking it twice does no harm. */
  private void append(Write write) {
    int partition = replicas.partition(write.jobId());
    Instant began = clock.instant();
    store
        .append(new AppendCall(JobReplicas.TOPIC, partition, write.records(), null))
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure == null) {
                logged("job.written", write.jobId(), write.status());
                write.responder().sendStatus(write.status(), null);
              } else {
                appendFailed(failure, write, began);
              }
            },
            executor);
  }

  /**
   * Tries again for a while, then tells the caller.
   *
   * <p>Load pattern: the store is away for all for seconds. A caller that is refused at once comes
   * back a moment later, is refused again, and its job is lost.
   *
   * <p>Failure: a try gets no answer and is carried out, and the next one is refused. Passed on,
   * that refusal would say of a job that runs that it does not. Guard: only a write of which no try
   * may have happened is refused.
   */
  private void appendFailed(Throwable failure, Write write, Instant began) {
    boolean notDone = kind(failure) == StoreException.Kind.NOT_DONE;
    Duration took = Duration.between(began, clock.instant());
    Write next = notDone ? write : write.afterNoAnswer();
    log.important("job", "append.failed")
        .with("id", write.jobId())
        .with("done", notDone ? "no" : "unknown")
        .with("earlierTries", write.perhapsDone() ? "unknown" : "no")
        .with("tryMillis", took.toMillis())
        .with("millis", write.millis(clock.instant()))
        .with("cause", failure.getMessage())
        .write();
    if (clock.instant().isBefore(write.arrived().plus(APPEND_TIME))) {
      // What took long needs no pause besides.
      Duration pause = notDone || took.compareTo(REPEAT) < 0 ? REPEAT : Duration.ZERO;
      executor.schedule(() -> append(next), pause.toMillis(), TimeUnit.MILLISECONDS);
    } else if (next.perhapsDone()) {
      // It may have been written, or may still be: no promise.
      notWritten(write, 502, null);
    } else {
      notWritten(write, 503, STORE_RETRY);
    }
  }

  private void notWritten(Write write, int status, @Nullable Duration retryAfter) {
    log.important("job", "job.not.written")
        .with("id", write.jobId())
        .with("status", status)
        .with("millis", write.millis(clock.instant()))
        .write();
    write.responder().sendStatus(status, retryAfter);
  }

  private void read(JobCall.Read read, Instant arrived, Responder responder) {
    withJob(read.jobId(), responder, job -> page(job, read, arrived, responder));
  }

  private void page(Job job, JobCall.Read read, Instant arrived, Responder responder) {
    List<JobResult> page = job.page(read.after(), PAGE_BYTES);
    if (!page.isEmpty() || read.after() >= job.items().size()) {
      send(job, read, page, responder);
    } else {
      waitForResult(job, read, arrived, responder);
    }
  }

  /**
   * Waits until there is a result, and answers without one only after the log was read.
   *
   * <p>Failure: a caller reads a result at one process and the same position at another one, which
   * has not followed the log. It shows as a result that is gone. Guard: that there is none is only
   * said after a read that began later than the call; if the log cannot be read, nothing is said.
   */
  private void waitForResult(Job job, JobCall.Read read, Instant arrived, Responder responder) {
    JobReplica replica = replicas.of(job.id());
    Wait wait = new Wait(job, read, arrived, replica, replica.readsBegun(), responder);
    if (replica.followed()) {
      awaitReads(wait);
    } else {
      readOn(wait);
    }
  }

  /**
   * A caller that waits for a result.
   *
   * @param mark number of reads of the log that had begun when the call came
   */
  private record Wait(
      Job job,
      JobCall.Read read,
      Instant arrived,
      JobReplica replica,
      long mark,
      Responder responder) {

    private Duration left(Instant now) {
      Duration left = read.waitTime().minus(Duration.between(arrived, now));
      return left.minus(LEAST_WAIT).isNegative() ? Duration.ZERO : left;
    }
  }

  /**
   * Waits for the reads that the holder makes anyway.
   *
   * <p>Load pattern: callers wait for results of hundreds of jobs, and each record of a partition
   * ends all their reads. One read a partition serves them all.
   */
  private void awaitReads(Wait wait) {
    if (answered(wait, wait.replica().provenSince(wait.mark()))) {
      return;
    }
    Duration left = wait.left(clock.instant());
    if (left.isZero()) {
      readOn(wait);
      return;
    }
    CompletableFuture<Void> woken = new CompletableFuture<>();
    executor.schedule(() -> woken.complete(null), left.toMillis(), TimeUnit.MILLISECONDS);
    wait.replica().nextRead().whenComplete((any, failure) -> woken.complete(null));
    woken.thenRunAsync(() -> awaitReads(wait), executor);
  }

  private void readOn(Wait wait) {
    wait.replica()
        .read(wait.left(clock.instant()))
        .whenCompleteAsync(
            (done, failure) -> {
              if (answered(wait, failure == null)) {
                return;
              }
              if (failure != null) {
                logged("job.unsure", wait.job().id(), 503);
                wait.responder().sendStatus(503, STORE_RETRY);
              } else {
                readOn(wait);
              }
            },
            executor);
  }

  /**
   * Answers if there is a result, or if the wait is over.
   *
   * @param proven whether a read that began after the call has reached the end of the log
   */
  private boolean answered(Wait wait, boolean proven) {
    Job job = wait.replica().table().find(wait.job().id()).orElse(wait.job());
    List<JobResult> page = job.page(wait.read().after(), PAGE_BYTES);
    boolean over = proven && wait.left(clock.instant()).isZero();
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
        .with("id", job.id())
        .with("after", read.after())
        .with("results", page.size())
        .write();
    responder.whole(200, headers, body);
  }

  private void readBody(JobCall.ReadBody call, Responder responder) {
    withJob(call.jobId(), responder, job -> sendBody(job, call.itemId(), responder));
  }

  private void sendBody(Job job, String itemId, Responder responder) {
    Optional<JobItem> item = job.item(itemId);
    if (item.isEmpty() || job.listed(itemId) || job.ended()) {
      responder.sendStatus(404, null);
    } else {
      responder.whole(200, new DefaultHttpHeaders(), item.get().body());
    }
  }

  /** Runs an action with a job; answers 404 only after the log was read to its end. */
  private void withJob(String jobId, Responder responder, Consumer<Job> action) {
    JobReplica replica = replicas.of(jobId);
    Optional<Job> known = replica.table().find(jobId);
    if (known.isPresent()) {
      action.accept(known.get());
      return;
    }
    CompletionStage<Void> refreshed = replica.refresh();
    refreshed.whenCompleteAsync(
        (done, failure) -> {
          Optional<Job> found = replica.table().find(jobId);
          if (found.isPresent()) {
            action.accept(found.get());
          } else if (failure != null || replica.table().unsure(jobId)) {
            logged("job.unsure", jobId, 503);
            responder.sendStatus(503, STORE_RETRY);
          } else {
            logged("job.unknown", jobId, 404);
            responder.sendStatus(404, null);
          }
        },
        executor);
  }

  private static StoreException.Kind kind(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof StoreException store ? store.kind() : StoreException.Kind.UNKNOWN;
  }

  private void logged(String event, String jobId, int status) {
    log.important("job", event).with("id", jobId).with("status", status).write();
  }
}

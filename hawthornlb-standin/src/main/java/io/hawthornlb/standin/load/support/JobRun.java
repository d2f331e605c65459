package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.JobFlow;
import io.hawthornlb.standin.load.support.JobCalls.Page;
import io.hawthornlb.standin.load.support.JobCalls.Status;
import io.hawthornlb.standin.report.JobResult;
import io.hawthornlb.standin.report.support.RunRecorder;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Submits one job, follows it to its end and checks its results, on a thread of its own. */
final class JobRun {

  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final long RESULTS_GRACE_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long CANCEL_GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final JobFlow flow;
  private final JobCalls calls;
  private final JobContent content;
  private final String key;
  private final RunClock clock;
  private final RunRecorder recorder;
  private final long intendedNanos;
  private final long endNanos;
  private final List<String> faults = new ArrayList<>();
  private long cancelledNanos;
  private int reported;

  JobRun(
      JobFlow flow,
      int job,
      String runKey,
      long seed,
      HttpCaller caller,
      RunClock clock,
      RunRecorder recorder,
      long endNanos) {
    this.flow = flow;
    this.calls = new JobCalls(caller, flow);
    this.content = new JobContent(flow, job, seed);
    this.key = runKey + "-" + flow.name() + "-" + job;
    this.clock = clock;
    this.recorder = recorder;
    this.intendedNanos = TimeUnit.MILLISECONDS.toNanos(flow.atMillis() + job * flow.everyMillis());
    this.endNanos = endNanos;
  }

  /** Submits the job and follows it until the job or the run ends. */
  JobResult run() {
    clock.sleepUntil(intendedNanos);
    Optional<Instant> due =
        flow.dueMillis() == 0
            ? Optional.empty()
            : Optional.of(Instant.now().plus(Duration.ofMillis(flow.dueMillis())));
    Optional<String> id = submit(due);
    long accepted = clock.nanos();
    if (id.isEmpty()) {
      faults.add("never accepted");
      return result("", new Status("", 0, 0), 0, 0);
    }
    resubmit(id.get(), due);
    Status status = awaitEnd(id.get());
    long done = clock.nanos();
    if (!status.ended()) {
      faults.add("did not end, status " + status.status());
      return result(id.get(), status, accepted, 0);
    }
    checkCancelled(id.get(), status, done);
    return checkResults(id.get(), status, accepted, done);
  }

  private Optional<String> submit(Optional<Instant> due) {
    Optional<String> id = calls.submit(key, content.lines(), due);
    while (id.isEmpty() && clock.nanos() < endNanos) {
      clock.sleepUntil(clock.nanos() + RETRY_NANOS);
      id = calls.submit(key, content.lines(), due);
    }
    return id;
  }

  private void resubmit(String id, Optional<Instant> due) {
    for (int submission = 1; submission < flow.submissions(); submission++) {
      Optional<String> other = submit(due);
      if (other.isPresent() && !other.get().equals(id)) {
        faults.add("the same key got a second job " + other.get());
      }
    }
  }

  private Status awaitEnd(String id) {
    Status last = new Status("unknown", 0, 0);
    boolean cancelled = false;
    long cancelAt = intendedNanos + TimeUnit.MILLISECONDS.toNanos(flow.cancelAfterMillis());
    while (!last.ended() && clock.nanos() < endNanos) {
      if (flow.cancelAfterMillis() > 0 && !cancelled && clock.nanos() >= cancelAt) {
        cancelled = calls.cancel(id);
        cancelledNanos = clock.nanos();
      }
      last = calls.status(id).orElse(last);
      report(last);
      if (!last.ended()) {
        clock.sleepUntil(clock.nanos() + TimeUnit.MILLISECONDS.toNanos(flow.pollMillis()));
      }
    }
    return last;
  }

  /**
   * Checks that a cancelled job stops.
   *
   * <p>If the job was cancelled, its status is read again 2 s later, and no further items may have
   * completed. It is a fault if a job ends in another state more than 2 s after its cancellation.
   */
  private void checkCancelled(String id, Status status, long done) {
    if (cancelledNanos == 0) {
      return;
    }
    boolean graceOver = done - cancelledNanos > CANCEL_GRACE_NANOS;
    if (!status.status().equals("cancelled")) {
      if (graceOver) {
        faults.add("ran to its end despite its cancellation");
      }
      return;
    }
    clock.sleepUntil(done + CANCEL_GRACE_NANOS);
    Status later = calls.status(id).orElse(status);
    if (later.completed() > status.completed()) {
      faults.add("went on after its cancellation");
    }
  }

  private void report(Status status) {
    int ended = ended(status);
    if (ended > reported) {
      recorder.progress(flow.name() + " items", ended - reported, clock.nanos());
      reported = ended;
    }
  }

  private JobResult checkResults(String id, Status status, long accepted, long done) {
    JobResultsCheck check = readResults(id);
    // Another entry instance can learn of the end of the job a moment later. All results must be
    // readable there within 3 s.
    while (ended(check) < ended(status) && clock.nanos() < done + RESULTS_GRACE_NANOS) {
      clock.sleepUntil(clock.nanos() + RETRY_NANOS);
      check = readResults(id);
    }
    faults.addAll(check.faults(status.status().equals("cancelled")));
    if (ended(check) < ended(status)) {
      faults.add(ended(status) + " items ended but only " + ended(check) + " results can be read");
    }
    return result(
        id, new Status(status.status(), check.completed(), check.failed()), accepted, done);
  }

  private JobResultsCheck readResults(String id) {
    JobResultsCheck check = new JobResultsCheck(content.expected());
    Optional<String> cursor = Optional.empty();
    do {
      Optional<Page> page = page(id, cursor);
      if (page.isEmpty()) {
        break;
      }
      page.get().lines().lines().filter(line -> !line.isBlank()).forEach(check::line);
      cursor = page.get().next();
    } while (cursor.isPresent());
    return check;
  }

  private static int ended(JobResultsCheck check) {
    return check.completed() + check.failed();
  }

  private static int ended(Status status) {
    return status.completed() + status.failed();
  }

  private Optional<Page> page(String id, Optional<String> cursor) {
    Optional<Page> page = calls.results(id, cursor);
    while (page.isEmpty() && clock.nanos() < endNanos) {
      clock.sleepUntil(clock.nanos() + RETRY_NANOS);
      page = calls.results(id, cursor);
    }
    return page;
  }

  private JobResult result(String id, Status status, long accepted, long done) {
    if (calls.disowned()) {
      faults.add("an entry answered 404 to the accepted job");
    }
    double seconds = (done - accepted) / (double) TimeUnit.SECONDS.toNanos(1);
    return new JobResult(
        flow.name(),
        id,
        status.status(),
        flow.items(),
        status.completed(),
        status.failed(),
        sinceIntended(accepted),
        sinceIntended(done),
        flow.dueMillis(),
        seconds > 0 ? ended(status) / seconds : 0,
        faults);
  }

  private long sinceIntended(long nanos) {
    return nanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(nanos - intendedNanos);
  }
}

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

/** Takes one job from its submission to the check of its results, on a thread of its own. */
final class JobRun {

  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final JobFlow flow;
  private final JobCalls calls;
  private final JobContent content;
  private final String key;
  private final RunClock clock;
  private final RunRecorder recorder;
  private final long intendedNanos;
  private final long endNanos;
  private final List<String> faults = new ArrayList<>();
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

  /** Runs to the end of the job or of the run. */
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
    return checked(id.get(), status, accepted, done);
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
    for (int again = 1; again < flow.submissions(); again++) {
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
      }
      last = calls.status(id).orElse(last);
      report(last);
      if (!last.ended()) {
        clock.sleepUntil(clock.nanos() + TimeUnit.MILLISECONDS.toNanos(flow.pollMillis()));
      }
    }
    return last;
  }

  private void report(Status status) {
    int ended = status.completed() + status.failed();
    if (ended > reported) {
      recorder.progress(flow.name() + " items", ended - reported, clock.nanos());
      reported = ended;
    }
  }

  private JobResult checked(String id, Status status, long accepted, long done) {
    JobResultsCheck check = new JobResultsCheck(content.expected());
    Optional<String> cursor = Optional.empty();
    do {
      Optional<Page> page = page(id, cursor);
      if (page.isEmpty()) {
        faults.add("results could not be read");
        break;
      }
      page.get().lines().lines().filter(line -> !line.isBlank()).forEach(check::line);
      cursor = page.get().next();
    } while (cursor.isPresent());
    faults.addAll(check.faults(status.status().equals("cancelled")));
    if (check.completed() != status.completed() || check.failed() != status.failed()) {
      faults.add("the counts do not agree with the results");
    }
    return result(
        id, new Status(status.status(), check.completed(), check.failed()), accepted, done);
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
    double seconds = (done - accepted) / (double) TimeUnit.SECONDS.toNanos(1);
    int ended = status.completed() + status.failed();
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
        seconds > 0 ? ended / seconds : 0,
        faults);
  }

  private long sinceIntended(long nanos) {
    return nanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(nanos - intendedNanos);
  }
}

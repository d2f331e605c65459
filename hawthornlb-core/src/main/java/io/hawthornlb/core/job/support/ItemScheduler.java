package io.hawthornlb.core.job.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.job.FailureKind;
import io.hawthornlb.core.job.ItemAttempts;
import io.hawthornlb.core.job.ItemDispatch;
import io.hawthornlb.core.job.ItemFailed;
import io.hawthornlb.core.job.ItemFinished;
import io.hawthornlb.core.job.ItemKey;
import io.hawthornlb.core.job.ItemOutcome;
import io.hawthornlb.core.job.ItemsCancelled;
import io.hawthornlb.core.job.ItemsHeld;
import io.hawthornlb.core.job.ItemsSettled;
import io.hawthornlb.core.job.JobCandidate;
import io.hawthornlb.core.job.JobOrder;
import io.hawthornlb.core.job.JobSettings;
import io.hawthornlb.core.job.PullJobItems;
import io.hawthornlb.core.job.ServiceBacklog;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Assigns items of running jobs to dispatchers, and processes the reports of dispatchers about the
 * items.
 */
final class ItemScheduler {

  private static final int MAX_BACKOFF_DOUBLINGS = 6;
  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);
  private static final String MAY_HAVE_RUN =
      "the instance that ran the item was lost; the item may have run and is not run again";

  private final JobFold fold;
  private final JobSettings settings;
  private final JobOrder order;
  private final OutcomeBuffer buffer;
  private final Map<JobId, RunningJob> runningJobs = new LinkedHashMap<>();
  private final PriorityQueue<DelayedRetry> delayedRetries =
      new PriorityQueue<>(Comparator.comparing(DelayedRetry::until));
  private Instant adoptUntil = Instant.MIN;
  private Instant sweptAt = Instant.MIN;
  private boolean adopting;

  ItemScheduler(JobFold fold, JobSettings settings, JobOrder order, OutcomeBuffer buffer) {
    this.fold = fold;
    this.settings = settings;
    this.order = order;
    this.buffer = buffer;
  }

  /**
   * Starts scheduling when this instance becomes the holder, or when the epoch of its claim
   * changes.
   */
  void begin(Instant now) {
    end();
    for (JobState state : fold.states()) {
      if (state.running()) {
        runningJobs.put(state.header().id(), new RunningJob(state));
      }
    }
    // Dispatchers still run the items that an earlier holder assigned to them. If the new holder
    // dispatched these items at once, all of them would run twice. So the new holder first waits
    // for the dispatchers to report the items that they have in progress.
    adopting = !runningJobs.isEmpty();
    adoptUntil = now.plus(settings.adoptionDelay());
  }

  /** Discards all state that is not in the log. */
  void end() {
    runningJobs.clear();
    delayedRetries.clear();
    buffer.clear();
    adopting = false;
  }

  /**
   * Applies progress of the log: adds jobs that were accepted, and removes jobs that have ended or
   * expired.
   */
  void advance(List<Effect> out) {
    for (JobState state : fold.states()) {
      if (state.running()) {
        runningJobs.computeIfAbsent(state.header().id(), id -> new RunningJob(state));
      }
    }
    runningJobs
        .values()
        .removeIf(
            runningJob -> {
              boolean over = fold.state(runningJob.header().id()) != runningJob.state();
              if (over || !runningJob.state().running()) {
                cancelAssigned(runningJob, out);
                return true;
              }
              return false;
            });
    settle(buffer.advance(fold), out);
  }

  /** Assigns up to the requested number of items to a dispatcher, and returns these items. */
  List<ItemDispatch> pull(PullJobItems request, Instant now) {
    List<ItemDispatch> items = new ArrayList<>();
    int inFlight = inFlight();
    while (!adopting
        && !buffer.full()
        && items.size() < request.max()
        && inFlight + items.size() < settings.maxInFlight()) {
      List<JobCandidate> candidates = candidates(request.service());
      if (candidates.isEmpty()) {
        break;
      }
      RunningJob runningJob = runningJobs.get(order.next(candidates, now).job());
      items.add(runningJob.assignNext(request.service(), request.steward(), now));
    }
    return items;
  }

  /**
   * Renews the assignments of the items that a dispatcher has in progress, and cancels those items
   * that the dispatcher should not run.
   */
  void held(ItemsHeld report, Instant now, List<Effect> out) {
    Map<JobId, List<Integer>> unwanted = new LinkedHashMap<>();
    for (ItemKey item : report.items()) {
      if (!confirm(item, report.steward(), now)) {
        unwanted.computeIfAbsent(item.job(), job -> new ArrayList<>()).add(item.index());
      }
    }
    unwanted.forEach((job, items) -> out.add(cancel(report.steward(), job, items)));
  }

  void finished(ItemFinished report, Instant now, List<Effect> out) {
    settleEnded(report.steward(), report.item(), out);
    RunningJob runningJob = runningJobs.get(report.item().job());
    int index = report.item().index();
    if (runningJob != null && runningJob.needsOutcome(index)) {
      ItemOutcome outcome = ItemOutcome.completed(index, report.customId(), report.result());
      endItem(runningJob, outcome, report.steward(), now);
    }
  }

  void failed(ItemFailed report, Instant now, List<Effect> out) {
    settleEnded(report.steward(), report.item(), out);
    RunningJob runningJob = runningJobs.get(report.item().job());
    int index = report.item().index();
    if (runningJob == null || !runningJob.needsOutcome(index)) {
      return;
    }
    boolean held = holds(runningJob, index, report.steward());
    boolean last = endsItem(report.kind(), runningJob);
    if (!last && (held || !adopting)) {
      // The dispatcher no longer has the item, and nothing of this report must outlast the holder.
      settle(List.of(new OutcomeBuffer.Report(report.steward(), report.item())), out);
    }
    if (!held) {
      return;
    }
    if (report.kind() == FailureKind.NOT_RUN) {
      runningJob.release(index);
    } else if (last) {
      ItemOutcome outcome = ItemOutcome.failed(index, report.customId(), report.cause());
      endItem(runningJob, outcome, report.steward(), now);
    } else {
      retry(runningJob, index, report.customId(), report.cause(), now);
    }
  }

  /** Returns whether an item is still assigned to a dispatcher. */
  boolean assigned(ItemKey item, InstanceId dispatcher) {
    RunningJob runningJob = runningJobs.get(item.job());
    return runningJob != null && holds(runningJob, item.index(), dispatcher);
  }

  /** Records that an item has been sent to its dispatcher. */
  void sent(ItemKey item, InstanceId dispatcher, Instant now) {
    RunningJob runningJob = runningJobs.get(item.job());
    if (runningJob != null) {
      runningJob.assign(item.index(), dispatcher, now);
    }
  }

  /** Releases an item that was assigned to a dispatcher but never sent. */
  void takeBack(ItemKey item) {
    RunningJob runningJob = runningJobs.get(item.job());
    if (runningJob != null) {
      runningJob.release(item.index());
    }
  }

  void dispatcherLost(InstanceId dispatcher, Instant now) {
    loseItems(assignment -> assignment.dispatcher().equals(dispatcher), now);
  }

  /** Stops a job at once, before its cancellation is durable. */
  void stop(JobId job, List<Effect> out) {
    RunningJob runningJob = runningJobs.get(job);
    if (runningJob != null) {
      cancelAssigned(runningJob, out);
      runningJob.stop();
    }
  }

  void tick(Instant now) {
    while (!delayedRetries.isEmpty() && !delayedRetries.peek().until().isAfter(now)) {
      DelayedRetry item = delayedRetries.poll();
      item.runningJob().release(item.index());
    }
    if (adopting && !adoptUntil.isAfter(now)) {
      adopting = false;
      runningJobs.values().forEach(runningJob -> endStarted(runningJob, now));
    }
    if (!sweptAt.plus(SWEEP_INTERVAL).isAfter(now)) {
      sweptAt = now;
      Instant oldest = now.minus(settings.dispatcherTimeout());
      loseItems(assignment -> assignment.confirmedAt().isBefore(oldest), now);
    }
  }

  List<ServiceBacklog> backlog() {
    Map<ServiceName, ServiceBacklog> backlog = new TreeMap<>();
    for (RunningJob runningJob : runningJobs.values()) {
      for (ServiceName service : runningJob.services()) {
        if (runningJob.hasFreeItem(service)) {
          ServiceBacklog own =
              new ServiceBacklog(
                  service, runningJob.state().openItems(), runningJob.header().due());
          backlog.merge(service, own, ItemScheduler::add);
        }
      }
    }
    return List.copyOf(backlog.values());
  }

  private static ServiceBacklog add(ServiceBacklog one, ServiceBacklog other) {
    boolean first = one.earliestDue().isBefore(other.earliestDue());
    Instant due = first ? one.earliestDue() : other.earliestDue();
    return new ServiceBacklog(one.service(), one.items() + other.items(), due);
  }

  private List<JobCandidate> candidates(ServiceName service) {
    return runningJobs.values().stream()
        .filter(runningJob -> runningJob.hasFreeItem(service))
        .map(RunningJob::candidate)
        .toList();
  }

  private int inFlight() {
    return delayedRetries.size()
        + runningJobs.values().stream()
            .mapToInt(runningJob -> runningJob.assignments().size())
            .sum();
  }

  private boolean confirm(ItemKey item, InstanceId dispatcher, Instant now) {
    RunningJob runningJob = runningJobs.get(item.job());
    if (runningJob == null || !runningJob.needsOutcome(item.index())) {
      return false;
    }
    boolean own = holds(runningJob, item.index(), dispatcher);
    boolean adoptable =
        runningJob.free(item.index()) && (adopting || !runningJob.header().atMostOnce());
    if (own || adoptable) {
      runningJob.assign(item.index(), dispatcher, now);
    }
    return own || adoptable;
  }

  private static boolean endsItem(FailureKind kind, RunningJob runningJob) {
    return kind == FailureKind.PERMANENT
        || (kind == FailureKind.TRANSIENT && runningJob.header().atMostOnce());
  }

  private static boolean holds(RunningJob runningJob, int index, InstanceId dispatcher) {
    RunningJob.Assignment assignment = runningJob.assignment(index);
    return assignment != null && assignment.dispatcher().equals(dispatcher);
  }

  private void loseItems(Predicate<RunningJob.Assignment> condition, Instant now) {
    for (RunningJob runningJob : runningJobs.values()) {
      List<Integer> items =
          runningJob.assignments().entrySet().stream()
              .filter(entry -> condition.test(entry.getValue()))
              .map(Map.Entry::getKey)
              .toList();
      items.forEach(index -> loseItem(runningJob, index, now));
    }
  }

  private void loseItem(RunningJob runningJob, int index, Instant now) {
    if (runningJob.header().atMostOnce()) {
      endItem(runningJob, ItemOutcome.failed(index, "", MAY_HAVE_RUN), null, now);
    } else {
      retry(runningJob, index, "", "the instance that ran the item was lost", now);
    }
  }

  private void retry(RunningJob runningJob, int index, String customId, String cause, Instant now) {
    int attempts = runningJob.countAttempt(index);
    if (attempts >= settings.maxAttempts()) {
      String finalCause = "failed " + attempts + " times, last: " + cause;
      endItem(runningJob, ItemOutcome.failed(index, customId, finalCause), null, now);
      return;
    }
    int doublings = Math.min(attempts - 1, MAX_BACKOFF_DOUBLINGS);
    runningJob.withhold(index);
    delayedRetries.add(
        new DelayedRetry(
            now.plus(settings.retryDelay().multipliedBy(1L << doublings)), runningJob, index));
    buffer.add(runningJob.header().id(), new ItemAttempts(index, attempts), now);
  }

  private void endItem(
      RunningJob runningJob, ItemOutcome outcome, @Nullable InstanceId dispatcher, Instant now) {
    runningJob.end(outcome.index());
    buffer.add(runningJob.header().id(), outcome, dispatcher, now);
  }

  /**
   * Answers a report about an item whose outcome is durable, or whose job has ended or is unknown.
   */
  private void settleEnded(InstanceId dispatcher, ItemKey item, List<Effect> out) {
    JobState state = fold.state(item.job());
    if (state == null || !state.open(item.index())) {
      settle(List.of(new OutcomeBuffer.Report(dispatcher, item)), out);
    }
  }

  private static void settle(List<OutcomeBuffer.Report> reports, List<Effect> out) {
    Map<InstanceId, Map<JobId, List<Integer>>> byJob = new TreeMap<>();
    for (OutcomeBuffer.Report report : reports) {
      byJob
          .computeIfAbsent(report.dispatcher(), dispatcher -> new LinkedHashMap<>())
          .computeIfAbsent(report.item().job(), job -> new ArrayList<>())
          .add(report.item().index());
    }
    byJob.forEach(
        (dispatcher, jobs) ->
            jobs.forEach(
                (job, items) ->
                    out.add(new SendPeerMessage(dispatcher, new ItemsSettled(job, items)))));
  }

  private void endStarted(RunningJob runningJob, Instant now) {
    if (!runningJob.header().atMostOnce()) {
      return;
    }
    for (int index = 0; index < runningJob.header().items(); index++) {
      if (runningJob.state().started(index) && runningJob.free(index)) {
        endItem(runningJob, ItemOutcome.failed(index, "", MAY_HAVE_RUN), null, now);
      }
    }
  }

  private static void cancelAssigned(RunningJob runningJob, List<Effect> out) {
    Map<InstanceId, List<Integer>> items = new TreeMap<>();
    runningJob
        .assignments()
        .forEach(
            (index, assignment) ->
                items
                    .computeIfAbsent(assignment.dispatcher(), key -> new ArrayList<>())
                    .add(index));
    items.forEach((dispatcher, own) -> out.add(cancel(dispatcher, runningJob.header().id(), own)));
  }

  private static Effect cancel(InstanceId dispatcher, JobId job, List<Integer> items) {
    return new SendPeerMessage(dispatcher, new ItemsCancelled(job, items));
  }

  private record DelayedRetry(Instant until, RunningJob runningJob, int index) {}
}

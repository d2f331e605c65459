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

/** Gives items of running jobs to stewards and takes their outcomes. */
final class ItemScheduler {

  private static final int MAX_BACKOFF_DOUBLINGS = 6;
  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);
  private static final String MAY_HAVE_RUN =
      "the instance that ran the item was lost; the item may have run and is not run again";

  private final JobFold fold;
  private final JobSettings settings;
  private final JobOrder order;
  private final OutcomeBuffer buffer;
  private final Map<JobId, JobWork> works = new LinkedHashMap<>();
  private final PriorityQueue<Delayed> delayed =
      new PriorityQueue<>(Comparator.comparing(Delayed::until));
  private Instant adoptUntil = Instant.MIN;
  private Instant sweptAt = Instant.MIN;
  private boolean adopting;

  ItemScheduler(JobFold fold, JobSettings settings, JobOrder order, OutcomeBuffer buffer) {
    this.fold = fold;
    this.settings = settings;
    this.order = order;
    this.buffer = buffer;
  }

  /** Begins as the holder, or anew after a change of epoch. */
  void begin(Instant now) {
    end();
    for (JobState state : fold.states()) {
      if (state.running()) {
        works.put(state.header().id(), new JobWork(state));
      }
    }
    // Stewards still run what an earlier holder gave them. Given out at once, all of that would run
    // twice; so they are first asked what they hold.
    adopting = !works.isEmpty();
    adoptUntil = now.plus(settings.adoptionDelay());
  }

  /** Forgets everything that is not in the log. */
  void end() {
    works.clear();
    delayed.clear();
    buffer.clear();
    adopting = false;
  }

  /** Follows the log: takes up accepted jobs and drops those that have ended. */
  void advance(List<Effect> out) {
    for (JobState state : fold.states()) {
      if (state.running()) {
        works.computeIfAbsent(state.header().id(), id -> new JobWork(state));
      }
    }
    works
        .values()
        .removeIf(
            work -> {
              boolean over = fold.state(work.header().id()) != work.state();
              if (over || !work.state().running()) {
                cancelAssigned(work, out);
                return true;
              }
              return false;
            });
    settle(buffer.advance(fold), out);
  }

  List<ItemDispatch> pull(PullJobItems question, Instant now) {
    List<ItemDispatch> items = new ArrayList<>();
    int inFlight = inFlight();
    while (!adopting
        && !buffer.full()
        && items.size() < question.max()
        && inFlight + items.size() < settings.maxInFlight()) {
      List<JobCandidate> candidates = candidates(question.service());
      if (candidates.isEmpty()) {
        break;
      }
      JobWork work = works.get(order.next(candidates, now).job());
      items.add(work.give(question.service(), question.steward(), now));
    }
    return items;
  }

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
    JobWork work = works.get(report.item().job());
    int index = report.item().index();
    if (work != null && work.wanted(index)) {
      ItemOutcome outcome = ItemOutcome.completed(index, report.customId(), report.result());
      endItem(work, outcome, report.steward(), now);
    }
  }

  void failed(ItemFailed report, Instant now, List<Effect> out) {
    settleEnded(report.steward(), report.item(), out);
    JobWork work = works.get(report.item().job());
    int index = report.item().index();
    if (work == null || !work.wanted(index) || !holds(work, index, report.steward())) {
      return;
    }
    boolean last = report.kind() == FailureKind.PERMANENT || work.header().atMostOnce();
    if (report.kind() == FailureKind.NOT_RUN) {
      work.giveBack(index);
    } else if (last) {
      ItemOutcome outcome = ItemOutcome.failed(index, report.customId(), report.cause());
      endItem(work, outcome, report.steward(), now);
    } else {
      retry(work, index, report.customId(), report.cause(), now);
    }
  }

  /** Returns whether a steward still has an item that was given to it. */
  boolean assigned(ItemKey item, InstanceId steward) {
    JobWork work = works.get(item.job());
    return work != null && holds(work, item.index(), steward);
  }

  /** Notes that an item has been sent to its steward. */
  void sent(ItemKey item, InstanceId steward, Instant now) {
    JobWork work = works.get(item.job());
    if (work != null) {
      work.assign(item.index(), steward, now);
    }
  }

  /** Takes back an item that was given to a steward and never sent. */
  void takeBack(ItemKey item) {
    JobWork work = works.get(item.job());
    if (work != null) {
      work.giveBack(item.index());
    }
  }

  void lost(InstanceId steward, Instant now) {
    loseWhere(assignment -> assignment.steward().equals(steward), now);
  }

  /** Stops a job before its cancellation is durable. */
  void stop(JobId job, List<Effect> out) {
    JobWork work = works.get(job);
    if (work != null) {
      cancelAssigned(work, out);
      work.stop();
    }
  }

  void tick(Instant now) {
    while (!delayed.isEmpty() && !delayed.peek().until().isAfter(now)) {
      Delayed item = delayed.poll();
      item.work().giveBack(item.index());
    }
    if (adopting && !adoptUntil.isAfter(now)) {
      adopting = false;
      works.values().forEach(work -> endStarted(work, now));
    }
    if (!sweptAt.plus(SWEEP_INTERVAL).isAfter(now)) {
      sweptAt = now;
      Instant oldest = now.minus(settings.stewardTimeout());
      loseWhere(assignment -> assignment.confirmedAt().isBefore(oldest), now);
    }
  }

  List<ServiceBacklog> backlog() {
    Map<ServiceName, ServiceBacklog> backlog = new TreeMap<>();
    for (JobWork work : works.values()) {
      for (ServiceName service : work.services()) {
        if (work.gives(service)) {
          ServiceBacklog own =
              new ServiceBacklog(service, work.state().openItems(), work.header().due());
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
    return works.values().stream()
        .filter(work -> work.gives(service))
        .map(JobWork::candidate)
        .toList();
  }

  private int inFlight() {
    return delayed.size()
        + works.values().stream().mapToInt(work -> work.assignments().size()).sum();
  }

  private boolean confirm(ItemKey item, InstanceId steward, Instant now) {
    JobWork work = works.get(item.job());
    if (work == null || !work.wanted(item.index())) {
      return false;
    }
    boolean own = holds(work, item.index(), steward);
    boolean adoptable = work.free(item.index()) && (adopting || !work.header().atMostOnce());
    if (own || adoptable) {
      work.assign(item.index(), steward, now);
    }
    return own || adoptable;
  }

  private static boolean holds(JobWork work, int index, InstanceId steward) {
    JobWork.Assignment assignment = work.assignment(index);
    return assignment != null && assignment.steward().equals(steward);
  }

  private void loseWhere(Predicate<JobWork.Assignment> condition, Instant now) {
    for (JobWork work : works.values()) {
      List<Integer> items =
          work.assignments().entrySet().stream()
              .filter(entry -> condition.test(entry.getValue()))
              .map(Map.Entry::getKey)
              .toList();
      items.forEach(index -> loseItem(work, index, now));
    }
  }

  private void loseItem(JobWork work, int index, Instant now) {
    if (work.header().atMostOnce()) {
      endItem(work, ItemOutcome.failed(index, "", MAY_HAVE_RUN), null, now);
    } else {
      retry(work, index, "", "the instance that ran the item was lost", now);
    }
  }

  private void retry(JobWork work, int index, String customId, String cause, Instant now) {
    int attempts = work.countAttempt(index);
    if (attempts >= settings.maxAttempts()) {
      String why = "failed " + attempts + " times, last: " + cause;
      endItem(work, ItemOutcome.failed(index, customId, why), null, now);
      return;
    }
    int doublings = Math.min(attempts - 1, MAX_BACKOFF_DOUBLINGS);
    work.withhold(index);
    delayed.add(
        new Delayed(now.plus(settings.retryDelay().multipliedBy(1L << doublings)), work, index));
    buffer.add(work.header().id(), new ItemAttempts(index, attempts), now);
  }

  private void endItem(
      JobWork work, ItemOutcome outcome, @Nullable InstanceId steward, Instant now) {
    work.end(outcome.index());
    buffer.add(work.header().id(), outcome, steward, now);
  }

  /** Answers a report on an item whose end is durable, or whose job is over or unknown. */
  private void settleEnded(InstanceId steward, ItemKey item, List<Effect> out) {
    JobState state = fold.state(item.job());
    if (state == null || !state.open(item.index())) {
      settle(List.of(new OutcomeBuffer.Report(steward, item)), out);
    }
  }

  private static void settle(List<OutcomeBuffer.Report> reports, List<Effect> out) {
    Map<InstanceId, Map<JobId, List<Integer>>> byJob = new TreeMap<>();
    for (OutcomeBuffer.Report report : reports) {
      byJob
          .computeIfAbsent(report.steward(), steward -> new LinkedHashMap<>())
          .computeIfAbsent(report.item().job(), job -> new ArrayList<>())
          .add(report.item().index());
    }
    byJob.forEach(
        (steward, jobs) ->
            jobs.forEach(
                (job, items) ->
                    out.add(new SendPeerMessage(steward, new ItemsSettled(job, items)))));
  }

  private void endStarted(JobWork work, Instant now) {
    if (!work.header().atMostOnce()) {
      return;
    }
    for (int index = 0; index < work.header().items(); index++) {
      if (work.state().started(index) && work.free(index)) {
        endItem(work, ItemOutcome.failed(index, "", MAY_HAVE_RUN), null, now);
      }
    }
  }

  private static void cancelAssigned(JobWork work, List<Effect> out) {
    Map<InstanceId, List<Integer>> items = new TreeMap<>();
    work.assignments()
        .forEach(
            (index, assignment) ->
                items.computeIfAbsent(assignment.steward(), key -> new ArrayList<>()).add(index));
    items.forEach((steward, own) -> out.add(cancel(steward, work.header().id(), own)));
  }

  private static Effect cancel(InstanceId steward, JobId job, List<Integer> items) {
    return new SendPeerMessage(steward, new ItemsCancelled(job, items));
  }

  private record Delayed(Instant until, JobWork work, int index) {}
}

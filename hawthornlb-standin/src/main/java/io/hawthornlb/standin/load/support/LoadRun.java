package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.CallFlow;
import io.hawthornlb.standin.load.ChatFlow;
import io.hawthornlb.standin.load.JobFlow;
import io.hawthornlb.standin.load.Limits;
import io.hawthornlb.standin.load.Scenario;
import io.hawthornlb.standin.report.CallComparison;
import io.hawthornlb.standin.report.FlowLabel;
import io.hawthornlb.standin.report.FlowResult;
import io.hawthornlb.standin.report.JobResult;
import io.hawthornlb.standin.report.RunResult;
import io.hawthornlb.standin.report.support.RunRecorder;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** One run of a scenario, from the first arrival to the checks of the results. */
public final class LoadRun {

  private static final long PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final double NANOS_PER_SECOND = 1e9;

  private final Scenario scenario;
  private final PrintStream progress;
  private final RunRecorder recorder = new RunRecorder();
  private final CallLedger ledger = new CallLedger();
  private final String runKey = UUID.randomUUID().toString();
  private final ExecutorService answerReaders;
  private final ExecutorService workers = Executors.newCachedThreadPool();

  /** Creates a run that writes progress lines to the given stream. */
  public LoadRun(Scenario scenario, PrintStream progress) {
    this.scenario = scenario;
    this.progress = progress;
    this.answerReaders = Executors.newFixedThreadPool(scenario.threads());
  }

  /** Runs the scenario and returns what it measured. */
  public RunResult run() {
    try {
      return measure();
    } finally {
      workers.shutdownNow();
      answerReaders.shutdownNow();
    }
  }

  private RunResult measure() {
    Instant startedAt = Instant.now();
    HttpCaller caller = new HttpCaller(new EntryBalancer(scenario.entries()), answerReaders);
    RunClock clock = new RunClock();
    Pacer pacer = new Pacer(flows(caller, clock), scenario, clock, recorder);
    long end = TimeUnit.MILLISECONDS.toNanos(scenario.durationMillis() + scenario.drainMillis());
    List<Future<JobResult>> jobs = startJobs(caller, clock, end);
    Future<?> sending = workers.submit(pacer::run);
    workers.submit(new ScheduledActions(scenario.actions(), clock, progress)::run);
    awaitEnd(clock, pacer, sending, jobs, end);
    return result(startedAt, clock.nanos() / NANOS_PER_SECOND, results(jobs));
  }

  private List<RequestFlow> flows(HttpCaller caller, RunClock clock) {
    List<RequestFlow> flows = new ArrayList<>();
    for (ChatFlow chat : scenario.chats()) {
      FlowLabel label = new FlowLabel(chat.name(), chat.requestClass(), chat.workspace());
      flows.add(
          new ChatRequests(
              chat, scenario.seed(), caller, clock, cause -> recorder.resent(label, cause)));
    }
    for (CallFlow call : scenario.calls()) {
      FlowLabel label = new FlowLabel(call.name(), call.requestClass(), call.workspace());
      flows.add(
          new ServiceCalls(
              call, runKey, caller, clock, ledger, cause -> recorder.resent(label, cause)));
    }
    return flows;
  }

  private List<Future<JobResult>> startJobs(HttpCaller caller, RunClock clock, long end) {
    List<Future<JobResult>> jobs = new ArrayList<>();
    for (JobFlow flow : scenario.jobs()) {
      for (int job = 0; job < flow.jobs(); job++) {
        JobRun run = new JobRun(flow, job, runKey, scenario.seed(), caller, clock, recorder, end);
        jobs.add(workers.submit(run::run));
      }
    }
    return jobs;
  }

  private void awaitEnd(
      RunClock clock, Pacer pacer, Future<?> sending, List<Future<JobResult>> jobs, long end) {
    long nextProgress = PROGRESS_NANOS;
    while (clock.nanos() < end) {
      clock.sleepUntil(Math.min(end, clock.nanos() + POLL_NANOS));
      if (clock.nanos() >= nextProgress) {
        printProgress(clock, pacer);
        nextProgress += PROGRESS_NANOS;
      }
      boolean done = sending.isDone() && jobs.stream().allMatch(Future::isDone);
      if (done && pacer.inFlight() == 0) {
        return;
      }
    }
  }

  private void printProgress(RunClock clock, Pacer pacer) {
    long sent = 0;
    long answered = 0;
    long refused = 0;
    long failed = 0;
    for (FlowResult flow : recorder.flows()) {
      sent += flow.sent();
      answered += flow.answered();
      refused += FlowResult.sum(flow.refused());
      failed += FlowResult.sum(flow.failed());
      failed += FlowResult.sum(flow.cut());
      failed += FlowResult.sum(flow.wrong());
    }
    progress.printf(
        "load: %3d s  sent %d  answered %d  refused %d  failed %d  in flight %d%n",
        TimeUnit.NANOSECONDS.toSeconds(clock.nanos()),
        sent,
        answered,
        refused,
        failed,
        pacer.inFlight());
  }

  private static List<JobResult> results(List<Future<JobResult>> jobs) {
    List<JobResult> results = new ArrayList<>();
    for (Future<JobResult> job : jobs) {
      results.add(JobResults.await(job));
    }
    return results;
  }

  private RunResult result(Instant startedAt, double seconds, List<JobResult> jobs) {
    List<FlowResult> flows = recorder.flows();
    CallComparison calls = compareCalls();
    List<String> lost = new EndpointCheck().lost(scenario.endpoints());
    List<String> broken =
        new ResultChecks()
            .flows(flows, limits())
            .jobs(jobs)
            .calls(calls)
            .endpoints(lost, scenario.endpointsLost())
            .broken();
    return new RunResult(
        scenario.name(),
        scenario.seed(),
        startedAt.toString(),
        seconds,
        flows,
        recorder.classes(),
        recorder.workspaces(),
        jobs,
        JobResults.itemsPerSecond(jobs, scenario.jobs()),
        calls,
        lost,
        recorder.timeline(),
        broken,
        null);
  }

  private CallComparison compareCalls() {
    if (scenario.services().isEmpty()) {
      return CallComparison.none();
    }
    Optional<Map<String, Long>> runs = new ServiceCounts().read(scenario.services());
    return runs.map(ledger::compare)
        .orElseGet(() -> new CallComparison(false, 0, List.of(), List.of(), List.of()));
  }

  private Map<String, Limits> limits() {
    Map<String, Limits> limits = new HashMap<>();
    scenario.chats().forEach(flow -> limits.put(flow.name(), flow.limits()));
    scenario.calls().forEach(flow -> limits.put(flow.name(), flow.limits()));
    return limits;
  }
}

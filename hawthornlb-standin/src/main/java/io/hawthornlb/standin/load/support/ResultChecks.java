package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.Limits;
import io.hawthornlb.standin.report.CallComparison;
import io.hawthornlb.standin.report.FlowResult;
import io.hawthornlb.standin.report.JobResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Checks the results of a run and collects the descriptions of the failed checks. */
public final class ResultChecks {

  private static final double PERCENT = 100;

  private final List<String> failedChecks = new ArrayList<>();

  /** Checks that a flow has no wrong answers or unfinished requests and is within its limits. */
  public ResultChecks flow(FlowResult flow, Limits limits) {
    String name = flow.label().name();
    flow.wrong().forEach(wrong -> add(name, wrong.count() + " answers " + wrong.name()));
    long cut = FlowResult.sum(flow.cut());
    check(cut > limits.cut(), name, cut + " answers cut");
    check(flow.unfinished() > 0, name, flow.unfinished() + " requests without an outcome");
    atMost(name, "first token p95 ms", flow.firstToken().p95(), limits.firstTokenP95Millis());
    atMost(name, "p95 ms", flow.total().p95(), limits.p95Millis());
    atMost(name, "p99 ms", flow.total().p99(), limits.p99Millis());
    double refused = percent(FlowResult.sum(flow.refused()), flow.sent());
    check(refused > limits.refusedPercent(), name, refused + "% refused");
    double failed = percent(FlowResult.sum(flow.failed()), flow.sent());
    check(failed > limits.failedPercent(), name, failed + "% failed");
    return this;
  }

  /** Checks all flows, each against the limits under the flow's name. */
  public ResultChecks flows(List<FlowResult> flows, Map<String, Limits> limits) {
    flows.forEach(flow -> flow(flow, limits.get(flow.label().name())));
    return this;
  }

  /**
   * Checks that jobs have no faults and end by their due times; cancelled jobs need not be on time.
   */
  public ResultChecks jobs(List<JobResult> jobs) {
    for (JobResult job : jobs) {
      job.faults().forEach(fault -> add(job.flow(), fault));
      boolean notCancelled = !job.status().equals("cancelled");
      boolean late = notCancelled && job.dueMillis() > 0 && job.doneMillis() > job.dueMillis();
      check(late, job.flow(), "job ended after its due time");
    }
    return this;
  }

  /**
   * Checks calls with idempotency keys: no answered call is lost, no call runs twice and no call
   * runs that is reported as not run.
   */
  public ResultChecks calls(CallComparison calls) {
    check(!calls.compared(), "calls", "the run counts of a service could not be read");
    check(!calls.lost().isEmpty(), "calls", calls.lost().size() + " lost");
    check(!calls.doubled().isEmpty(), "calls", calls.doubled().size() + " doubled");
    check(!calls.untrue().isEmpty(), "calls", calls.untrue().size() + " ran though refused");
    return this;
  }

  /** Checks that no more endpoints are lost than the scenario allows. */
  public ResultChecks endpoints(List<String> lost, int allowed) {
    check(lost.size() > allowed, "endpoints", lost.size() + " lost: " + lost);
    return this;
  }

  /** Returns the descriptions of the failed checks, in the order in which they were checked. */
  public List<String> broken() {
    return List.copyOf(failedChecks);
  }

  private void atMost(String name, String what, double measured, double limit) {
    check(limit > 0 && measured > limit, name, what + " " + measured + " over " + limit);
  }

  private void check(boolean failed, String name, String text) {
    if (failed) {
      add(name, text);
    }
  }

  private void add(String name, String text) {
    failedChecks.add(name + ": " + text);
  }

  private static double percent(long part, long whole) {
    return whole == 0 ? 0 : PERCENT * part / whole;
  }
}

package io.hawthornlb.core.job.support;

import io.hawthornlb.core.job.JobCandidate;
import io.hawthornlb.core.job.JobOrder;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Weighted fair scheduling among workspaces, and earliest deadline first with aging among the jobs
 * of one workspace.
 *
 * <p>Every second turn goes to the job with the earliest deadline among all jobs that are due
 * within the urgent window, whatever their workspace. So the urgent jobs of one workspace take at
 * most half of the turns beyond the share of that workspace.
 */
public final class FairDeadlineJobOrder implements JobOrder {

  private static final double AGING = 2.0;

  private final Duration urgentWindow;
  private final ToDoubleFunction<WorkspaceId> weights;
  private final Map<WorkspaceId, Double> virtualTimes = new HashMap<>();
  private boolean urgentTurn;

  /**
   * Creates an order in which no workspace has had a turn yet.
   *
   * @param urgentWindow a job is urgent from this long before its due time
   * @param weights returns the share of a workspace relative to other workspaces; above zero
   */
  public FairDeadlineJobOrder(Duration urgentWindow, ToDoubleFunction<WorkspaceId> weights) {
    this.urgentWindow = urgentWindow;
    this.weights = weights;
  }

  @Override
  public JobCandidate next(List<JobCandidate> candidates, Instant now) {
    urgentTurn = !urgentTurn;
    List<JobCandidate> urgent = urgentTurn ? urgent(candidates, now) : List.of();
    JobCandidate chosen =
        urgent.isEmpty() ? fairest(candidates, now) : earliest(urgent, JobCandidate::due);
    charge(chosen.workspace(), candidates);
    return chosen;
  }

  private List<JobCandidate> urgent(List<JobCandidate> candidates, Instant now) {
    Instant limit = now.plus(urgentWindow);
    return candidates.stream().filter(job -> job.due().isBefore(limit)).toList();
  }

  private JobCandidate fairest(List<JobCandidate> candidates, Instant now) {
    WorkspaceId workspace =
        candidates.stream()
            .map(JobCandidate::workspace)
            .min(Comparator.comparingDouble(this::virtualTime).thenComparing(id -> id))
            .orElseThrow();
    List<JobCandidate> own =
        candidates.stream().filter(job -> job.workspace().equals(workspace)).toList();
    return earliest(own, job -> agedDue(job, now));
  }

  /**
   * Returns the due time of a job minus a multiple of the time that the job has waited.
   *
   * <p>Without aging, a steady stream of new jobs with near due times starves a job that is due
   * later. With aging, each turn that goes to another job moves the waiting job forward in the
   * order.
   */
  private static Instant agedDue(JobCandidate job, Instant now) {
    Duration waited = Duration.between(job.waitingSince(), now);
    return job.due().minusMillis((long) (AGING * Math.max(0, waited.toMillis())));
  }

  private static JobCandidate earliest(
      List<JobCandidate> jobs, Function<JobCandidate, Instant> due) {
    return jobs.stream().min(Comparator.comparing(due)).orElseThrow();
  }

  private double virtualTime(WorkspaceId workspace) {
    return virtualTimes.getOrDefault(workspace, floor());
  }

  private double floor() {
    return virtualTimes.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
  }

  private void charge(WorkspaceId workspace, List<JobCandidate> candidates) {
    double floor = floor();
    Set<WorkspaceId> present =
        candidates.stream().map(JobCandidate::workspace).collect(Collectors.toSet());
    // A workspace without jobs must not save up turns for the time when it has jobs again.
    virtualTimes.keySet().retainAll(present);
    present.forEach(id -> virtualTimes.putIfAbsent(id, floor));
    virtualTimes.merge(workspace, 1 / weights.applyAsDouble(workspace), Double::sum);
  }
}

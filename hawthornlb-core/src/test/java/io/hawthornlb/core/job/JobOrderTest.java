package io.hawthornlb.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.hawthornlb.core.job.support.FairDeadlineJobOrder;
import io.hawthornlb.core.job.support.FirstComeJobOrder;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class JobOrderTest {

  private static final Instant START = Instant.EPOCH;

  private final Map<String, Integer> turns = new HashMap<>();

  // Guards against a workspace with one small job that waits until the thousand jobs of another
  // workspace have ended.
  @Test
  void workspacesShareTurns() {
    List<JobCandidate> jobs = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      jobs.add(job("big-" + i, "big", Duration.ofHours(1)));
    }
    jobs.add(job("small", "small", Duration.ofHours(5)));

    run(order(), jobs, 100);
    assertEquals(50, turns.get("small"));
    turns.clear();
    run(new FirstComeJobOrder(), jobs, 100);
    assertEquals(100, turns.get("big-0"));
  }

  @Test
  void earlierDeadlineGoesFirstInAWorkspace() {
    List<JobCandidate> jobs =
        List.of(job("late", "w", Duration.ofHours(9)), job("soon", "w", Duration.ofHours(2)));

    assertEquals("soon", order().next(jobs, START).job().value());
    assertEquals("late", new FirstComeJobOrder().next(jobs, START).job().value());
  }

  @Test
  void urgentJobTakesEverySecondTurnAcrossWorkspaces() {
    List<JobCandidate> jobs = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      jobs.add(job("w" + i, "w" + i, Duration.ofHours(5)));
    }
    jobs.add(job("urgent", "late", Duration.ofSeconds(30)));

    run(order(), jobs, 100);
    assertTrue(turns.get("urgent") >= 50, "turns " + turns);
    assertTrue(turns.getOrDefault("w3", 0) >= 5, "turns " + turns);
  }

  // Guards against starvation: a job that is due tomorrow never starts, because jobs that are due
  // sooner keep arriving.
  @Test
  void waitingJobIsNotStarved() {
    JobOrder order = order();
    JobCandidate old = job("old", "w", Duration.ofHours(10));
    Instant now = START;
    for (int step = 0; step < 1_000; step++) {
      now = now.plusSeconds(60);
      JobCandidate fresh =
          new JobCandidate(
              new JobId("fresh-" + step), new WorkspaceId("w"), now.plus(Duration.ofHours(1)), now);
      if (order.next(List.of(fresh, old), now) == old) {
        return;
      }
    }
    fail("the old job never got a turn");
  }

  private void run(JobOrder order, List<JobCandidate> jobs, int count) {
    for (int i = 0; i < count; i++) {
      turns.merge(order.next(jobs, START).job().value(), 1, Integer::sum);
    }
  }

  private static JobOrder order() {
    return new FairDeadlineJobOrder(Duration.ofMinutes(1), workspace -> 1);
  }

  private static JobCandidate job(String name, String workspace, Duration due) {
    return new JobCandidate(new JobId(name), new WorkspaceId(workspace), START.plus(due), START);
  }
}

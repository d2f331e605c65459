package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JobCompletionOrderTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final int STEP_MILLIS = 100;
  private static final int EVENTS_PER_STEP = 4;
  private static final int ITEMS = 10;
  private static final int SLOTS = 60;

  private final RunEstimate estimate = new RunEstimate();

  /** Guards against jobs that are all half done when they are due. */
  @Test
  void ranksBegunJobsBeforeOthersAndHopelessOnesLast() {
    Job begun = job("begun", 0);
    progress(begun, begun.items().get(0), 20);
    Job fresh = job("fresh", 0);
    long ofBegun = JobCompletionOrder.rank(begun, NOW.plusSeconds(17), estimate, NOW);
    long ofFresh = JobCompletionOrder.rank(fresh, NOW.plusSeconds(6), estimate, NOW);
    long ofHopeless = JobCompletionOrder.rank(fresh, NOW.plusSeconds(2), estimate, NOW);
    assertEquals(NOW.plusSeconds(17).toEpochMilli(), ofBegun);
    assertTrue(ofBegun < ofFresh && ofFresh < ofHopeless, ofFresh + " " + ofHopeless);
  }

  /**
   * Guards against fewer complete jobs than by the order of due times, while jobs arrive at six
   * times their rate for 3 s.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void completesNoFewerJobsInTimeDuringABurst(long seed) {
    int[] existing = replay(seed, false);
    int[] contended = replay(seed, true);
    String seen =
        "jobs in time %d, was %d; items in time %d, was %d; of %d jobs"
            .formatted(contended[0], existing[0], contended[1], existing[1], existing[2]);
    System.out.println("job order: seed " + seed + " " + seen);
    assertTrue(contended[0] >= existing[0], seen);
  }

  /** Returns the jobs and the items that were complete in time, and the number of jobs. */
  private int[] replay(long seed, boolean contended) {
    Random random = new Random(seed);
    List<Job> jobs = new ArrayList<>();
    Map<JobItem, Integer> lengths = new HashMap<>();
    Map<JobItem, Integer> done = new HashMap<>();
    int itemsInTime = 0;
    int jobsInTime = 0;
    for (int at = 0; at < 50_000; at += STEP_MILLIS) {
      double rate = at >= 12_000 && at < 15_000 ? 6 : 1;
      if (at < 30_000 && random.nextDouble() < 0.12 * rate) {
        Job job = job("j" + jobs.size(), at);
        jobs.add(job);
        job.items().forEach(item -> lengths.put(item, 70 + random.nextInt(140)));
      }
      Instant now = NOW.plusMillis(at);
      List<Ranked> waiting = new ArrayList<>();
      for (Job job : jobs) {
        Instant due = job.accepted().plusSeconds(18);
        for (JobItem item : job.items()) {
          if (!job.listed(item.id())) {
            long events = job.progress(item.id()).lastEventId();
            long rank =
                contended
                    ? JobCompletionOrder.rank(job, due, estimate, now)
                    : estimate.rank(due, events, now);
            waiting.add(new Ranked(rank, job, item));
          }
        }
      }
      waiting.sort(Comparator.comparingLong(Ranked::rank));
      int free = at % 6_000 < 3_600 ? SLOTS : SLOTS / 6;
      for (Ranked each : waiting.subList(0, Math.min(free, waiting.size()))) {
        int events = done.merge(each.item(), EVENTS_PER_STEP, Integer::sum);
        progress(each.job(), each.item(), events);
        if (events >= lengths.get(each.item())) {
          int position = each.job().resultCount();
          each.job().put(position, new JobResult(each.item().id(), true, ""));
          boolean inTime = !now.isAfter(each.job().accepted().plusSeconds(18));
          itemsInTime += inTime ? 1 : 0;
          jobsInTime += inTime && each.job().complete() ? 1 : 0;
        }
      }
    }
    return new int[] {jobsInTime, itemsInTime, jobs.size()};
  }

  private record Ranked(long rank, Job job, JobItem item) {}

  private static Job job(String id, int at) {
    List<JobItem> items = new ArrayList<>();
    for (int i = 0; i < ITEMS; i++) {
      items.add(new JobItem(id + "-" + i, "/p", Map.of(), new byte[0]));
    }
    return new Job(id, "h", NOW.plusMillis(at), items);
  }

  private static void progress(Job job, JobItem item, int events) {
    ProgressLink after = job.progress(item.id()).end();
    ProgressLink upTo = new ProgressLink(events - 1, 1);
    job.addProgress(new JobRecords.Progress(item.id(), after, upTo, "x", ItemRecorder.ORIGIN));
  }
}

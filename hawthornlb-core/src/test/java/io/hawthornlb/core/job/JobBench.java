package io.hawthornlb.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.job.support.DefaultJobCoordinator;
import io.hawthornlb.core.job.support.FairDeadlineJobOrder;
import io.hawthornlb.core.job.support.JobFold;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.partition.PartitionOpened;
import io.hawthornlb.core.partition.support.DefaultPartitionFold;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Measures the heap use of jobs and the number of appends, and prints them as table rows. */
@Tag("bench")
class JobBench {

  private static final InstanceId SELF = new InstanceId("i0");
  private static final ServiceName SERVICE = new ServiceName("log-reader");
  private static final int CHUNK = 500;
  private static final String RESULT = "r".repeat(400);

  @Test
  void heapOfJobs() {
    for (int items : new int[] {2_000, 20_000, 200_000}) {
      int jobs = 400_000 / items;
      long before = usedBytes();
      Holder holder = new Holder();
      for (int i = 0; i < jobs; i++) {
        holder.submit("job-" + i, items);
      }
      long waiting = usedBytes() - before;
      holder.runAll(jobs * items / 2, 1_000);
      long half = usedBytes() - before;
      holder.runAll(jobs * items, 1_000);
      long ended = usedBytes() - before;
      System.out.printf(
          "items %d jobs %d | bytes a job: waiting %d, half done %d, ended %d"
              + " | bytes an item: %.1f, %.1f, %.1f%n",
          items,
          jobs,
          waiting / jobs,
          half / jobs,
          ended / jobs,
          waiting / (double) jobs / items,
          half / (double) jobs / items,
          ended / (double) jobs / items);
      assertEquals(jobs, holder.fold.jobs().size());
    }
  }

  @Test
  void appendsOfOneLargeJob() {
    for (int rate : new int[] {150, 1_000, 5_000}) {
      Holder holder = new Holder();
      holder.submit("large", 200_000);
      int before = holder.appends;
      long start = System.nanoTime();
      holder.runAll(200_000, rate);
      long nanos = System.nanoTime() - start;
      System.out.printf(
          "200000 items at %d a second: %d chunk records, %d outcome records, largest %d bytes"
              + " of results, %.1f microseconds of the core an item%n",
          rate, before, holder.appends - before, holder.largest, nanos / 1e3 / 200_000);
      assertEquals(200_000, holder.completed());
    }
  }

  private static long usedBytes() {
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** A holder whose log applies each record immediately and stores none. */
  private static final class Holder {

    private final JobFold fold = new JobFold(true);
    private final DefaultPartitionFold partition =
        new DefaultPartitionFold(0, Duration.ofHours(24), List.of(fold));
    private final DefaultJobCoordinator coordinator;
    private final Deque<ItemDispatch> running = new ArrayDeque<>();
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private int finished;
    private int appends;
    private int largest;

    private Holder() {
      PartitionId id = new PartitionId(0);
      Claim claim = new Claim(id, new Epoch(1), SELF, List.of());
      coordinator =
          new DefaultJobCoordinator(
              id,
              partition,
              fold,
              () -> Optional.of(claim),
              new RecordIdSource(SELF),
              new FairDeadlineJobOrder(Duration.ofMinutes(10), workspace -> 1),
              JobSettings.builder().build());
      take(new PartitionOpened(new Epoch(1), SELF));
    }

    private void submit(String key, int items) {
      WorkspaceId workspace = new WorkspaceId("w");
      JobId job = JobIds.of(workspace, key, 1);
      JobItem item = new JobItem("item", "POST", "/v1/chat/completions", "");
      for (int i = 0; i < items / CHUNK; i++) {
        List<JobItem> own = Collections.nCopies(CHUNK, item);
        take(new JobChunk(job, "s", i, SERVICE, own, Optional.empty()));
        appends++;
      }
      JobHeader header =
          new JobHeader(
              job,
              workspace,
              key,
              "hash",
              "s",
              items / CHUNK,
              items,
              now.plusSeconds(86_400),
              now,
              Duration.ofHours(24),
              false);
      on(new SubmitJob(SELF, new RequestId(key), header, true));
      now = now.plusSeconds(3);
      on(new JobTick());
    }

    private void runAll(int until, int rate) {
      Duration step = Duration.ofNanos(1_000_000_000L * 20 / rate);
      while (finished < until) {
        on(new PullJobItems(SELF, new EndpointId("e"), SERVICE, 20));
        now = now.plus(step);
        for (ItemDispatch item : List.copyOf(running)) {
          running.removeFirst();
          finished++;
          ItemKey key = new ItemKey(item.job(), item.location().index());
          on(new ItemFinished(SELF, key, "item", RESULT));
        }
      }
      now = now.plusSeconds(3);
      on(new JobTick());
      on(new PartitionAdvanced());
    }

    private int completed() {
      return fold.jobs().stream().mapToInt(job -> fold.status(job).orElseThrow().completed()).sum();
    }

    private void on(JobEvent event) {
      for (Effect effect : coordinator.on(event, now)) {
        if (effect instanceof AppendRecord append) {
          appends++;
          take(append.body());
        } else if (effect instanceof SendPeerMessage send
            && send.message() instanceof ItemsDispatched dispatched) {
          running.addAll(dispatched.items());
        }
      }
    }

    private void take(RecordBody body) {
      if (body instanceof ItemOutcomes outcomes) {
        int items = outcomes.groups().stream().mapToInt(group -> group.outcomes().size()).sum();
        largest = Math.max(largest, items * RESULT.length());
      }
      RecordId id = new RecordId(SELF, partition.nextOffset());
      partition.apply(new LogRecord(partition.nextOffset(), now, id, body));
    }
  }
}

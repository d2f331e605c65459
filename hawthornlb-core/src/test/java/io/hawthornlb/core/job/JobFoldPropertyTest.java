package io.hawthornlb.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.job.support.JobFold;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.partition.PartitionOpened;
import io.hawthornlb.core.partition.support.DefaultPartitionFold;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class JobFoldPropertyTest {

  private static final int JOBS = 3;
  private static final int ITEMS = 6;

  // Guards against instances that report different results for one item, depending on which records
  // they have folded and in what state. The fold must agree with a full replay of the stream.
  @Property(tries = 500, seed = "20261202")
  void boundedFoldAgreesWithFullReplay(@ForAll long seed) {
    List<LogRecord> records = records(new Random(seed));
    JobFold fold = fold(records);
    NaiveJobs naive = NaiveJobs.replay(records);

    assertEquals(naive.jobs(), Set.copyOf(fold.jobs()));
    for (JobId job : naive.jobs()) {
      assertEquals(naive.phase(job), fold.status(job).orElseThrow().phase());
      assertEquals(naive.outcomes(job), outcomes(fold, job, records));
    }
  }

  @Test
  void replayWithoutTheFirstOutcomeRuleDiffers() {
    boolean differs =
        IntStream.range(0, 500)
            .mapToObj(seed -> records(new Random(seed)))
            .anyMatch(
                records -> {
                  JobFold fold = fold(records);
                  NaiveJobs naive = NaiveJobs.replayWithoutGuard(records);
                  return naive.jobs().stream()
                      .anyMatch(job -> !naive.outcomes(job).equals(outcomes(fold, job, records)));
                });

    assertTrue(differs);
  }

  private static JobFold fold(List<LogRecord> records) {
    JobFold jobs = new JobFold(true);
    DefaultPartitionFold fold = new DefaultPartitionFold(0, Duration.ofHours(24), List.of(jobs));
    records.forEach(fold::apply);
    return jobs;
  }

  private static Map<Integer, ItemOutcome> outcomes(
      JobFold fold, JobId job, List<LogRecord> records) {
    Map<Integer, ItemOutcome> outcomes = new HashMap<>();
    for (ItemOutcome end : JobScenario.results(fold, job, records)) {
      assertTrue(outcomes.put(end.index(), end) == null, "an item must have only one outcome");
    }
    return outcomes;
  }

  private static List<LogRecord> records(Random random) {
    List<LogRecord> records = new ArrayList<>();
    int count = 20 + random.nextInt(100);
    for (int offset = 0; offset < count; offset++) {
      boolean repeated = offset > 0 && random.nextInt(8) == 0;
      LogRecord original = repeated ? records.get(random.nextInt(offset)) : null;
      RecordBody body = original == null ? body(random) : original.body();
      RecordId id = original == null ? new RecordId(new InstanceId("w"), offset) : original.id();
      records.add(new LogRecord(offset, Instant.EPOCH.plusSeconds(offset), id, body));
    }
    return records;
  }

  private static RecordBody body(Random random) {
    Epoch epoch = new Epoch(1 + random.nextInt(2));
    JobId job = new JobId("job-0-" + random.nextInt(JOBS));
    return switch (random.nextInt(12)) {
      case 0 -> new PartitionOpened(epoch, new InstanceId("h" + epoch.value()));
      case 1, 2, 3 -> chunk(job, random);
      case 4, 5 -> new JobAccepted(epoch, header(job, random));
      case 6 -> random.nextInt(4) == 0 ? new JobCancelled(epoch, job) : chunk(job, random);
      default -> new ItemOutcomes(epoch, groups(random), Optional.empty());
    };
  }

  private static JobChunk chunk(JobId job, Random random) {
    int index = random.nextInt(2);
    List<JobItem> items =
        IntStream.range(0, ITEMS / 2)
            .mapToObj(i -> new JobItem("item-" + index + i, "POST", "/", ""))
            .toList();
    String submission = "s" + random.nextInt(2);
    return new JobChunk(
        job, submission, index, new ServiceName("log-reader"), items, Optional.empty());
  }

  private static JobHeader header(JobId job, Random random) {
    return new JobHeader(
        job,
        new WorkspaceId("vatuwaqa"),
        job.value(),
        "content",
        "s" + random.nextInt(2),
        2,
        ITEMS,
        Instant.EPOCH,
        Instant.EPOCH,
        Duration.ofHours(1),
        false);
  }

  private static List<JobOutcomeGroup> groups(Random random) {
    List<JobOutcomeGroup> groups = new ArrayList<>();
    for (int job = 0; job < JOBS; job++) {
      List<ItemOutcome> outcomes = new ArrayList<>();
      for (int i = 0; i < random.nextInt(4); i++) {
        int index = random.nextInt(ITEMS + 1);
        String text = "text " + random.nextInt(1_000);
        outcomes.add(
            random.nextInt(4) == 0
                ? ItemOutcome.failed(index, "", text)
                : ItemOutcome.completed(index, "", text));
      }
      groups.add(new JobOutcomeGroup(new JobId("job-0-" + job), outcomes, List.of()));
    }
    return groups;
  }
}

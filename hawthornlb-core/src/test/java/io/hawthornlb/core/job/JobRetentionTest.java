package io.hawthornlb.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.job.support.JobFold;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.partition.support.DefaultPartitionFold;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class JobRetentionTest {

  private static final Duration RETENTION = Duration.ofMinutes(2);

  private final JobScenario scenario =
      new JobScenario(5, JobScenario.settings().logRetention(RETENTION).build());

  // Guards against results that disappear early: a caller reads in the evening the results of the
  // morning and finds none, because the platform drops the records long before the result retention
  // time of the catalogue ends.
  @Test
  void resultsStayReadableAfterTheLogDropsTheirRecords() {
    scenario.hold(0);
    JobId job = scenario.accepted("reports", 150);
    scenario.dispatcherWidth(6);
    assertTrue(scenario.awaitEnd(job, Duration.ofMinutes(1)));
    scenario.cluster().run(Duration.ofMinutes(10));

    JobFold fold = scenario.jobFold();
    Instant oldest = scenario.cluster().now().minus(RETENTION);
    for (ResultSpan span : fold.results(job, 0, 1_000).spans()) {
      assertTrue(scenario.cluster().log().at(span.offset()).appendedAt().isAfter(oldest));
    }
    assertEquals(150, scenario.results(fold, job).size());
  }

  // Guards against diverging state: an instance that starts on a log whose first records have been
  // dropped reports other results or phases than instances that have folded the whole log.
  @Test
  void readerOfATruncatedStreamReachesTheSameState() {
    scenario.cluster().lostAnswers(0.2);
    scenario.hold(0);
    JobId first = scenario.accepted("first", 400);
    JobId second = scenario.accepted("second", 3_000);
    scenario.dispatcherWidth(2);
    scenario.cluster().run(Duration.ofSeconds(70));
    scenario.hold(1);
    JobId third = scenario.accepted("third", 10_000);
    scenario.cluster().run(Duration.ofMinutes(3));
    scenario.cancel(third);
    scenario.cluster().run(Duration.ofSeconds(30));
    List<LogRecord> records = scenario.cluster().log().readFrom(0);
    JobFold whole = fold(records);

    int complete = 0;
    Random random = new Random(17);
    for (int i = 0; i < 40; i++) {
      int from = 1 + random.nextInt(records.size() * 3 / 4);
      JobFold late = new JobFold(false);
      DefaultPartitionFold partition = new DefaultPartitionFold(from, RETENTION, List.of(late));
      records.subList(from, records.size()).forEach(partition::apply);
      if (partition.complete()) {
        complete++;
        for (JobId job : List.of(first, second, third)) {
          assertEquals(whole.status(job), late.status(job), "from offset " + from);
          assertEquals(sorted(whole, job, records), sorted(late, job, records));
        }
      }
    }
    assertTrue(complete > 20, "complete readers: " + complete);
  }

  private static JobFold fold(List<LogRecord> records) {
    JobFold jobs = new JobFold(true);
    DefaultPartitionFold partition = new DefaultPartitionFold(0, RETENTION, List.of(jobs));
    records.forEach(partition::apply);
    return jobs;
  }

  private static List<ItemOutcome> sorted(JobFold fold, JobId job, List<LogRecord> records) {
    return JobScenario.results(fold, job, records).stream()
        .sorted(Comparator.comparingInt(ItemOutcome::index))
        .toList();
  }
}

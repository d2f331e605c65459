package io.hawthornlb.app.partition;

import io.hawthornlb.app.dispatch.RefusalException;
import io.hawthornlb.app.entry.DecisionLoop;
import io.hawthornlb.core.job.ItemOutcome;
import io.hawthornlb.core.job.ItemOutcomes;
import io.hawthornlb.core.job.JobIds;
import io.hawthornlb.core.job.JobStatus;
import io.hawthornlb.core.job.ResultPage;
import io.hawthornlb.core.job.ResultSpan;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Reads the status and the results of jobs from the streams of their partitions. Works on any entry
 * instance, whether or not the instance holds the partition.
 */
public final class JobReader {

  private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

  private final PartitionHosts hosts;
  private final RecordReader records;
  private final DecisionLoop loop;
  private final InstantSource clock;
  private final int partitions;

  /** Creates a reader. */
  public JobReader(PartitionHosts hosts, PartitionContext context, int partitions) {
    this.hosts = hosts;
    this.records = new RecordReader(context.log(), context.loop());
    this.loop = context.loop();
    this.clock = context.clock();
    this.partitions = partitions;
  }

  /** Returns the status of a job of a workspace, or fails with {@link RefusalException}. */
  public Mono<JobStatus> status(WorkspaceId workspace, JobId job) {
    Optional<PartitionId> partition = partition(job);
    if (partition.isEmpty()) {
      return Mono.error(new RefusalException(notFound()));
    }
    Instant asked = clock.instant();
    return loop.ask(sink -> pollStatus(workspace, job, partition.get(), asked, sink));
  }

  /** Returns the outcomes from a cursor on, and the cursor of the next page. */
  public Mono<Page> results(JobStatus status, int cursor, int spans) {
    JobId job = status.header().id();
    PartitionId partition = JobIds.partition(job);
    Mono<ResultPage> page =
        loop.ask(
            sink ->
                sink.success(
                    hosts
                        .reading(partition)
                        .map(host -> host.directory().results(job, cursor, spans))
                        .orElse(new ResultPage(List.of(), Optional.of(cursor)))));
    return page.flatMap(found -> read(partition, found));
  }

  private Mono<Page> read(PartitionId partition, ResultPage page) {
    return Flux.fromIterable(page.spans())
        .concatMap(span -> outcomes(StreamName.ofPartition(partition), span))
        .collectList()
        .map(lists -> new Page(lists.stream().flatMap(List::stream).toList(), page.next()));
  }

  private Mono<List<ItemOutcome>> outcomes(StreamName stream, ResultSpan span) {
    return Mono.fromCompletionStage(() -> records.read(stream, span.offset()))
        .map(
            entry ->
                entry
                    .filter(found -> found.body() instanceof ItemOutcomes)
                    .map(found -> span.select((ItemOutcomes) found.body()))
                    .orElseThrow(() -> new RefusalException(unreadable())))
        .onErrorMap(
            error -> !(error instanceof RefusalException),
            error -> new RefusalException(unreadable()));
  }

  private void pollStatus(
      WorkspaceId workspace,
      JobId job,
      PartitionId partition,
      Instant asked,
      MonoSink<JobStatus> sink) {
    Optional<PartitionHost> host = hosts.reading(partition);
    Optional<JobStatus> status =
        host.flatMap(found -> found.directory().status(job))
            .filter(found -> found.header().workspace().equals(workspace));
    if (status.isPresent()) {
      sink.success(status.get());
    } else if (host.isPresent() && host.get().knowsAllBefore(asked)) {
      sink.error(new RefusalException(notFound()));
    } else if (clock.instant().isAfter(asked.plus(READ_TIMEOUT))) {
      sink.error(new RefusalException(unreadable()));
    } else {
      loop.after(POLL_INTERVAL, () -> pollStatus(workspace, job, partition, asked, sink));
    }
  }

  private Optional<PartitionId> partition(JobId job) {
    try {
      return Optional.of(JobIds.partition(job)).filter(id -> id.value() < partitions);
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Refusal notFound() {
    return Refusal.notRun(RefusalReason.NOT_FOUND, "no such job in this workspace");
  }

  private static Refusal unreadable() {
    return Refusal.mayHaveRun(RefusalReason.NOT_DURABLE, "the log cannot be read now")
        .retryAfter(RETRY_AFTER);
  }

  /**
   * One page of outcomes of a job.
   *
   * @param outcomes the outcomes in the order in which they were stored
   * @param next the cursor of the next page; empty on the last page
   */
  public record Page(List<ItemOutcome> outcomes, Optional<Integer> next) {

    /** Copies the outcomes. */
    public Page {
      outcomes = List.copyOf(outcomes);
    }
  }
}

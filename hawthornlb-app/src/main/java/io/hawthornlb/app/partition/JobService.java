package io.hawthornlb.app.partition;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.app.dispatch.RefusalException;
import io.hawthornlb.app.entry.LogAccess;
import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.job.CancelJob;
import io.hawthornlb.core.job.JobAnswer;
import io.hawthornlb.core.job.JobChunk;
import io.hawthornlb.core.job.JobHeader;
import io.hawthornlb.core.job.JobIds;
import io.hawthornlb.core.job.SubmitJob;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.UUID;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Sends submissions and cancellations of jobs to the holders of their partitions. */
public final class JobService {

  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

  private final InstanceId self;
  private final PartitionContext context;
  private final JobHolderClient holderClient;
  private final JobReader reader;
  private final ObjectMapper mapper;
  private final int partitions;

  /** Creates the service. */
  public JobService(
      InstanceId self,
      PartitionContext context,
      JobHolderClient holderClient,
      JobReader reader,
      ObjectMapper mapper,
      int partitions) {
    this.self = self;
    this.context = context;
    this.holderClient = holderClient;
    this.reader = reader;
    this.mapper = mapper;
    this.partitions = partitions;
  }

  /**
   * Stores the items of a job and returns the id of the job once the job is durable.
   *
   * <p>Items are stored in the log while they arrive. Stored items have no effect until the holder
   * accepts the job. A submission that is refused or breaks off therefore leaves only records that
   * expire.
   *
   * <p>A job that was accepted before the catalogue lost a service of its items stays the same job
   * if its caller sends it again.
   */
  public Mono<JobId> submit(
      WorkspaceId workspace,
      Optional<String> callerKey,
      Instant due,
      Catalogue catalogue,
      Flux<String> lines) {
    String key = callerKey.orElseGet(() -> UUID.randomUUID().toString());
    boolean firstSend = callerKey.isEmpty();
    JobId job = JobIds.of(workspace, key, partitions);
    String submission = UUID.randomUUID().toString();
    JobUpload upload = new JobUpload(job, submission, catalogue, mapper);
    Flux<JobChunk> chunks =
        lines
            .concatMap(line -> Mono.justOrEmpty(upload.line(line)))
            .concatWith(Mono.defer(() -> Mono.justOrEmpty(upload.end())));
    return chunks
        .concatMap(chunk -> upload.findings().isEmpty() ? store(chunk) : Mono.empty())
        .then(
            Mono.defer(
                () ->
                    upload.findings().isEmpty()
                        ? accept(
                            header(workspace, key, due, catalogue, submission, upload), firstSend)
                        : accepted(workspace, job, upload, firstSend)));
  }

  /** Cancels a job and returns the answer of the holder of its partition. */
  public Mono<JobAnswer> cancel(WorkspaceId workspace, JobId job) {
    return holderClient.ask(JobIds.partition(job), id -> new CancelJob(self, id, workspace, job));
  }

  private Mono<Long> store(JobChunk chunk) {
    StreamName stream = StreamName.ofPartition(JobIds.partition(chunk.job()));
    LogAccess log = context.log();
    return context
        .loop()
        .<AppendRecord>ask(
            sink -> sink.success(new AppendRecord(stream, context.ids().next(), chunk)))
        .flatMap(effect -> Mono.fromCompletionStage(() -> log.append(effect)))
        .timeout(APPEND_TIMEOUT)
        .onErrorMap(error -> new RefusalException(notDurable()));
  }

  private Mono<JobId> accept(JobHeader header, boolean firstSend) {
    return holderClient
        .ask(JobIds.partition(header.id()), id -> new SubmitJob(self, id, header, firstSend))
        .map(JobAnswer::job);
  }

  /** Returns the id of a job that was accepted earlier, or fails with the faults of the upload. */
  private Mono<JobId> accepted(
      WorkspaceId workspace, JobId job, JobUpload upload, boolean firstSend) {
    RefusalException invalid = new RefusalException(invalid(upload));
    if (firstSend || !upload.lacksOnlyServices()) {
      return Mono.error(invalid);
    }
    String contentHash = upload.contentHash();
    return reader
        .status(workspace, job)
        .filter(known -> known.header().contentHash().equals(contentHash))
        .map(known -> known.header().id())
        .switchIfEmpty(Mono.error(invalid))
        .onErrorMap(JobService::isNotFound, error -> invalid);
  }

  private static boolean isNotFound(Throwable error) {
    return error instanceof RefusalException refused
        && refused.refusal().reason() == RefusalReason.NOT_FOUND;
  }

  private static Refusal invalid(JobUpload upload) {
    return Refusal.notRun(
            RefusalReason.INVALID_REQUEST,
            "the job has " + upload.findings().size() + " fault(s); nothing is run")
        .withFindings(upload.findings());
  }

  private JobHeader header(
      WorkspaceId workspace,
      String key,
      Instant due,
      Catalogue catalogue,
      String submission,
      JobUpload upload) {
    return new JobHeader(
        JobIds.of(workspace, key, partitions),
        workspace,
        key,
        upload.contentHash(),
        submission,
        upload.chunks(),
        upload.items(),
        due,
        context.clock().instant(),
        retention(catalogue),
        false);
  }

  private static Duration retention(Catalogue catalogue) {
    Optional<Duration> longest =
        catalogue.services().values().stream()
            .map(ServiceEntry::resultRetention)
            .max(Comparator.naturalOrder());
    return longest.orElse(Duration.ofDays(1));
  }

  private static Refusal notDurable() {
    return Refusal.notRun(
            RefusalReason.NOT_DURABLE, "the log takes no items now; send the job again")
        .retryAfter(RETRY_AFTER);
  }
}

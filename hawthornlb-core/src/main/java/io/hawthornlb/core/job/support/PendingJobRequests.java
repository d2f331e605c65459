package io.hawthornlb.core.job.support;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.job.CancelJob;
import io.hawthornlb.core.job.JobAccepted;
import io.hawthornlb.core.job.JobAnswer;
import io.hawthornlb.core.job.JobAnswerKind;
import io.hawthornlb.core.job.JobCancelled;
import io.hawthornlb.core.job.JobHeader;
import io.hawthornlb.core.job.JobSettings;
import io.hawthornlb.core.job.SubmitJob;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.partition.support.ResentAppends;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Submissions and cancellations whose answers wait for the log. */
final class PendingJobRequests {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

  private final StreamName stream;
  private final JobFold fold;
  private final JobSettings settings;
  private final RecordIdSource ids;
  private final ResentAppends appends;
  private final Map<JobId, Submission> submissions = new LinkedHashMap<>();
  private final Map<JobId, List<WaitingRequest>> cancellations = new LinkedHashMap<>();

  PendingJobRequests(
      PartitionId partition,
      JobFold fold,
      JobSettings settings,
      RecordIdSource ids,
      ResentAppends appends) {
    this.stream = StreamName.ofPartition(partition);
    this.fold = fold;
    this.settings = settings;
    this.ids = ids;
    this.appends = appends;
  }

  void submit(SubmitJob event, Epoch epoch, Instant now, List<Effect> out) {
    JobHeader header = event.header();
    WaitingRequest request =
        new WaitingRequest(event.replyTo(), event.request(), event.firstSend(), deadline(now));
    JobState known = fold.state(header.id());
    if (known != null) {
      out.add(answerKnownJob(request, header, known.header()));
      return;
    }
    Submission pending = submissions.get(header.id());
    if (pending != null && !sameContent(pending.header, header)) {
      out.add(conflict(request, header.id(), false));
      return;
    }
    if (pending == null && full()) {
      out.add(refuse(request, header.id(), RefusalReason.LIMIT_EXCEEDED, false));
      return;
    }
    Submission submission = submissions.computeIfAbsent(header.id(), id -> new Submission(header));
    submission.requests.add(request);
    append(submission, epoch, now, out);
  }

  /** Accepts a cancellation, and returns whether the job must be stopped. */
  boolean cancel(CancelJob event, Epoch epoch, Instant now, List<Effect> out) {
    WaitingRequest request =
        new WaitingRequest(event.replyTo(), event.request(), false, deadline(now));
    JobState state = fold.state(event.job());
    if (state == null || !state.header().workspace().equals(event.workspace())) {
      Refusal refusal = Refusal.notRun(RefusalReason.NOT_FOUND, "no such job");
      out.add(answer(request, event.job(), JobAnswerKind.REFUSED, Optional.of(refusal)));
      return false;
    }
    if (!state.running()) {
      out.add(answerEndedJob(request, state));
      return false;
    }
    boolean first = !cancellations.containsKey(event.job());
    cancellations.computeIfAbsent(event.job(), id -> new ArrayList<>()).add(request);
    if (first) {
      appends.add(
          record(new JobCancelled(epoch, event.job())),
          () -> noLongerRunning(event.job()),
          now,
          out);
    }
    return first;
  }

  /** Answers the requests that the log has decided since the last call. */
  void advance(Epoch epoch, Instant now, List<Effect> out) {
    submissions
        .values()
        .removeIf(
            submission -> {
              JobState state = fold.state(submission.header.id());
              if (state == null) {
                append(submission, epoch, now, out);
                return false;
              }
              submission.requests.forEach(
                  request -> out.add(answerKnownJob(request, submission.header, state.header())));
              return true;
            });
    cancellations
        .entrySet()
        .removeIf(
            entry -> {
              JobState state = fold.state(entry.getKey());
              if (state != null && state.running()) {
                return false;
              }
              entry
                  .getValue()
                  .forEach(request -> out.add(answerStoppedJob(request, entry.getKey(), state)));
              return true;
            });
  }

  void tick(Instant now, List<Effect> out) {
    submissions.values().removeIf(submission -> expire(submission, now, out));
    cancellations.forEach((job, requests) -> expire(job, requests, true, now, out));
  }

  boolean empty() {
    return submissions.isEmpty() && cancellations.isEmpty();
  }

  /**
   * Answers all waiting requests with {@link JobAnswerKind#NOT_HOLDER}, so that callers turn to the
   * new holder.
   */
  void end(List<Effect> out) {
    submissions.forEach(
        (job, submission) ->
            submission.requests.forEach(request -> out.add(notHolder(request, job))));
    cancellations.forEach(
        (job, requests) -> requests.forEach(request -> out.add(notHolder(request, job))));
    submissions.clear();
    cancellations.clear();
  }

  static Effect notHolder(SubmitJob event) {
    return notHolder(
        new WaitingRequest(event.replyTo(), event.request(), false, Instant.MAX),
        event.header().id());
  }

  static Effect notHolder(CancelJob event) {
    return notHolder(
        new WaitingRequest(event.replyTo(), event.request(), false, Instant.MAX), event.job());
  }

  private static Effect notHolder(WaitingRequest request, JobId job) {
    return answer(request, job, JobAnswerKind.NOT_HOLDER, Optional.empty());
  }

  private boolean noLongerRunning(JobId job) {
    JobState state = fold.state(job);
    return state == null || !state.running();
  }

  /** Returns whether the job was accepted, or its upload expired so that it cannot be accepted. */
  private boolean decided(JobHeader header) {
    return fold.state(header.id()) != null || !fold.uploaded(header);
  }

  private boolean full() {
    return fold.states().size() + submissions.size() >= settings.maxJobs()
        || submissions.size() + cancellations.size() >= settings.maxPendingRequests();
  }

  private Instant deadline(Instant now) {
    return now.plus(settings.answerTimeout());
  }

  private void append(Submission submission, Epoch epoch, Instant now, List<Effect> out) {
    if (!submission.appended && fold.uploaded(submission.header)) {
      submission.appended = true;
      AppendRecord effect = record(new JobAccepted(epoch, submission.header));
      appends.add(effect, () -> decided(submission.header), now, out);
    }
  }

  private boolean expire(Submission submission, Instant now, List<Effect> out) {
    JobId job = submission.header.id();
    expire(job, submission.requests, submission.appended, now, out);
    // If the upload has expired, the appended JobAccepted record is void, and there is no decision
    // to wait for.
    boolean undecided = submission.appended && fold.uploaded(submission.header);
    return submission.requests.isEmpty() && !undecided;
  }

  private void expire(
      JobId job, List<WaitingRequest> requests, boolean appended, Instant now, List<Effect> out) {
    requests.removeIf(
        request -> {
          boolean expired = !request.deadline.isAfter(now);
          if (expired) {
            out.add(refuse(request, job, RefusalReason.NOT_DURABLE, appended));
          }
          return expired;
        });
  }

  /**
   * Answers a submission of an accepted job: accepted again, or a conflict if the content differs.
   */
  private static Effect answerKnownJob(
      WaitingRequest request, JobHeader submitted, JobHeader accepted) {
    return sameContent(submitted, accepted)
        ? answer(request, accepted.id(), JobAnswerKind.ACCEPTED, Optional.empty())
        : conflict(request, accepted.id(), true);
  }

  private static boolean sameContent(JobHeader one, JobHeader other) {
    return one.contentHash().equals(other.contentHash());
  }

  /** Answers a cancellation of a job that ended, was cancelled, or has expired since. */
  private static Effect answerStoppedJob(WaitingRequest request, JobId job, JobState state) {
    return state == null
        ? answer(request, job, JobAnswerKind.ALREADY_ENDED, Optional.empty())
        : answerEndedJob(request, state);
  }

  private static Effect answerEndedJob(WaitingRequest request, JobState state) {
    JobAnswerKind kind = state.cancelled() ? JobAnswerKind.CANCELLED : JobAnswerKind.ALREADY_ENDED;
    return answer(request, state.header().id(), kind, Optional.empty());
  }

  private static Effect conflict(WaitingRequest request, JobId job, boolean durable) {
    String detail = "the idempotency key was used with other content";
    Refusal refusal =
        durable
            ? Refusal.notRun(RefusalReason.KEY_CONFLICT, detail)
            : Refusal.mayHaveRun(RefusalReason.KEY_CONFLICT, detail);
    return answer(request, job, JobAnswerKind.REFUSED, Optional.of(refusal));
  }

  /**
   * Refuses a request that the log has not decided.
   *
   * <p>The refusal says "not run" only if the key was never sent before and nothing was appended.
   * For a key that was sent before, "not run" could be false: a holder that was superseded and does
   * not know it can't see that its successor accepted the job.
   */
  private static Effect refuse(
      WaitingRequest request, JobId job, RefusalReason reason, boolean appended) {
    String detail = "the job could not be accepted for sure; send it again with the same key";
    Refusal refusal =
        request.firstSend && !appended
            ? Refusal.notRun(reason, detail)
            : Refusal.mayHaveRun(reason, detail);
    return answer(
        request, job, JobAnswerKind.REFUSED, Optional.of(refusal.retryAfter(RETRY_AFTER)));
  }

  private static Effect answer(
      WaitingRequest request, JobId job, JobAnswerKind kind, Optional<Refusal> refusal) {
    JobAnswer message = new JobAnswer(request.id, job, kind, refusal);
    return new SendPeerMessage(request.replyTo, message);
  }

  private AppendRecord record(RecordBody body) {
    return new AppendRecord(stream, ids.next(), body);
  }

  private record WaitingRequest(
      InstanceId replyTo, RequestId id, boolean firstSend, Instant deadline) {}

  private static final class Submission {

    private final JobHeader header;
    private final List<WaitingRequest> requests = new ArrayList<>();
    private boolean appended;

    private Submission(JobHeader header) {
      this.header = header;
    }
  }
}

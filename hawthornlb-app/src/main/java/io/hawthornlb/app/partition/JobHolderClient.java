package io.hawthornlb.app.partition;

import io.hawthornlb.app.dispatch.RefusalException;
import io.hawthornlb.app.entry.DecisionLoop;
import io.hawthornlb.app.entry.EffectSink;
import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.ClaimView;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.job.JobAnswer;
import io.hawthornlb.core.job.JobAnswerKind;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.peer.PeerMessage;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Sends job requests to the holder of a partition and resends them until the holder answers. Used
 * on the decision loop.
 *
 * <p>Resending is safe because the requests are idempotent: a submission is identified by the key
 * of its job, and a cancellation by the id of its job.
 */
public final class JobHolderClient {

  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration RESEND_INTERVAL = Duration.ofMillis(1_500);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

  private final ClaimView claims;
  private final EffectSink effects;
  private final DecisionLoop loop;
  private final InstantSource clock;
  private final Map<RequestId, PendingRequest> pending = new HashMap<>();

  /** Creates a client without pending requests. */
  public JobHolderClient(
      ClaimView claims, EffectSink effects, DecisionLoop loop, InstantSource clock) {
    this.claims = claims;
    this.effects = effects;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Sends a request to the holder of a partition and returns its answer, or fails with {@link
   * RefusalException} if the holder refuses the request or does not answer within 10 s.
   *
   * @param partition the partition that the request is about
   * @param message creates the message to send from the id of the request
   */
  public Mono<JobAnswer> ask(PartitionId partition, Function<RequestId, PeerMessage> message) {
    return loop.ask(
        sink -> {
          RequestId id = new RequestId(UUID.randomUUID().toString());
          Instant deadline = clock.instant().plus(ANSWER_TIMEOUT);
          PendingRequest request = new PendingRequest(partition, message.apply(id), deadline, sink);
          pending.put(id, request);
          send(request);
        });
  }

  /** Handles the answer of a holder. Call this method on the decision loop. */
  public void onAnswer(JobAnswer answer) {
    PendingRequest request = pending.get(answer.request());
    if (request == null) {
      return;
    }
    if (answer.kind() == JobAnswerKind.NOT_HOLDER) {
      request.lastRecipient = null;
      return;
    }
    pending.remove(answer.request());
    if (answer.kind() == JobAnswerKind.REFUSED && answer.refusal().isPresent()) {
      request.sink.error(new RefusalException(answer.refusal().get()));
    } else {
      request.sink.success(answer);
    }
  }

  /**
   * Resends requests whose holder changed or did not answer, and fails those that timed out. Call
   * this method on the decision loop.
   */
  public void tick() {
    Instant now = clock.instant();
    List<RequestId> expired = new ArrayList<>();
    pending.forEach(
        (id, request) -> {
          if (request.deadline.isBefore(now)) {
            expired.add(id);
          } else {
            send(request);
          }
        });
    for (RequestId id : expired) {
      PendingRequest request = pending.remove(id);
      if (request != null) {
        request.sink.error(new RefusalException(noAnswer()));
      }
    }
  }

  private void send(PendingRequest request) {
    Optional<InstanceId> holder = claims.current(request.partition).map(Claim::holder);
    Instant now = clock.instant();
    boolean due =
        holder.isPresent()
            && (!holder.get().equals(request.lastRecipient) || !now.isBefore(request.resendAt));
    if (due) {
      request.lastRecipient = holder.get();
      request.resendAt = now.plus(RESEND_INTERVAL);
      effects.perform(List.of(new SendPeerMessage(holder.get(), request.message)));
    }
  }

  private static Refusal noAnswer() {
    return Refusal.mayHaveRun(
            RefusalReason.NOT_DURABLE,
            "no instance answered for this job; ask again with the same key")
        .retryAfter(RETRY_AFTER);
  }

  private static final class PendingRequest {

    private final PartitionId partition;
    private final PeerMessage message;
    private final Instant deadline;
    private final MonoSink<JobAnswer> sink;
    private @Nullable InstanceId lastRecipient;
    private Instant resendAt = Instant.MIN;

    private PendingRequest(
        PartitionId partition, PeerMessage message, Instant deadline, MonoSink<JobAnswer> sink) {
      this.partition = partition;
      this.message = message;
      this.deadline = deadline;
      this.sink = sink;
    }
  }
}

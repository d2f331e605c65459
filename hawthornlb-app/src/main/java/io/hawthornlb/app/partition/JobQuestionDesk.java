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
 * Asks the holder of a partition about jobs until it answers; used on the loop.
 *
 * <p>Questions may be asked again: a job is named by its key, and a cancellation by its job.
 */
public final class JobQuestionDesk {

  private static final Duration PATIENCE = Duration.ofSeconds(10);
  private static final Duration ASK_AGAIN = Duration.ofMillis(1_500);
  private static final Duration COME_BACK = Duration.ofSeconds(5);

  private final ClaimView claims;
  private final EffectSink effects;
  private final DecisionLoop loop;
  private final InstantSource clock;
  private final Map<RequestId, Question> questions = new HashMap<>();

  /** Creates a desk without questions. */
  public JobQuestionDesk(
      ClaimView claims, EffectSink effects, DecisionLoop loop, InstantSource clock) {
    this.claims = claims;
    this.effects = effects;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Returns the answer of the holder, or fails with {@link RefusalException}.
   *
   * @param partition the partition
   * @param message makes the question with its id
   */
  public Mono<JobAnswer> ask(PartitionId partition, Function<RequestId, PeerMessage> message) {
    return loop.ask(
        sink -> {
          RequestId id = new RequestId(UUID.randomUUID().toString());
          Instant until = clock.instant().plus(PATIENCE);
          Question question = new Question(partition, message.apply(id), until, sink);
          questions.put(id, question);
          send(question);
        });
  }

  /** Takes the answer of a holder; on the loop. */
  public void answered(JobAnswer answer) {
    Question question = questions.get(answer.request());
    if (question == null) {
      return;
    }
    if (answer.kind() == JobAnswerKind.NOT_HOLDER) {
      question.askedHolder = null;
      return;
    }
    questions.remove(answer.request());
    if (answer.kind() == JobAnswerKind.REFUSED && answer.refusal().isPresent()) {
      question.sink.error(new RefusalException(answer.refusal().get()));
    } else {
      question.sink.success(answer);
    }
  }

  /** Asks new holders, and gives up what has waited too long; on the loop. */
  public void tick() {
    Instant now = clock.instant();
    List<RequestId> late = new ArrayList<>();
    questions.forEach(
        (id, question) -> {
          if (question.until.isBefore(now)) {
            late.add(id);
          } else {
            send(question);
          }
        });
    for (RequestId id : late) {
      Question question = questions.remove(id);
      if (question != null) {
        question.sink.error(new RefusalException(unanswered()));
      }
    }
  }

  private void send(Question question) {
    Optional<InstanceId> holder = claims.current(question.partition).map(Claim::holder);
    Instant now = clock.instant();
    boolean due =
        holder.isPresent()
            && (!holder.get().equals(question.askedHolder) || !now.isBefore(question.askAgain));
    if (due) {
      question.askedHolder = holder.get();
      question.askAgain = now.plus(ASK_AGAIN);
      effects.perform(List.of(new SendPeerMessage(holder.get(), question.message)));
    }
  }

  private static Refusal unanswered() {
    return Refusal.mayHaveRun(
            RefusalReason.NOT_DURABLE,
            "no instance answered for this job; ask again with the same key")
        .retryAfter(COME_BACK);
  }

  private static final class Question {

    private final PartitionId partition;
    private final PeerMessage message;
    private final Instant until;
    private final MonoSink<JobAnswer> sink;
    private @Nullable InstanceId askedHolder;
    private Instant askAgain = Instant.MIN;

    private Question(
        PartitionId partition, PeerMessage message, Instant until, MonoSink<JobAnswer> sink) {
      this.partition = partition;
      this.message = message;
      this.until = until;
      this.sink = sink;
    }
  }
}

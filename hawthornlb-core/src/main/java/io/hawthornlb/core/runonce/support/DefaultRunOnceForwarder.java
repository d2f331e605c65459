package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.ClaimView;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.RunStatus;
import io.hawthornlb.core.runonce.AnswerCaller;
import io.hawthornlb.core.runonce.ForwardRunOnce;
import io.hawthornlb.core.runonce.RunOnceAnswer;
import io.hawthornlb.core.runonce.RunOnceAnswered;
import io.hawthornlb.core.runonce.RunOnceForwarder;
import io.hawthornlb.core.runonce.RunOnceRequest;
import io.hawthornlb.core.runonce.StopPoint;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Sends each request once to each holder that it learns of.
 *
 * <p>It never sends a request twice to one holder: the second could start another attempt after the
 * first was answered with "not run".
 */
public final class DefaultRunOnceForwarder implements RunOnceForwarder {

  private static final Duration ANSWER_GRACE = Duration.ofMillis(250);
  private static final Duration HOLDER_PATIENCE = Duration.ofSeconds(3);

  private final InstanceId self;
  private final ClaimView claims;
  private final int maxPending;
  private final Map<RequestId, Pending> pending = new LinkedHashMap<>();

  /**
   * Creates the forwarder of an entry.
   *
   * @param self the entry
   * @param claims says who holds a partition
   * @param maxPending the largest number of requests under way
   */
  public DefaultRunOnceForwarder(InstanceId self, ClaimView claims, int maxPending) {
    Checks.isTrue(maxPending > 0, "max pending must be positive");
    this.self = self;
    this.claims = claims;
    this.maxPending = maxPending;
  }

  @Override
  public List<Effect> submit(RequestId id, RunOnceRequest request, Instant now) {
    Checks.isTrue(!pending.containsKey(id), "request " + id + " was submitted before");
    if (pending.size() >= maxPending) {
      return List.of(stopped(id, StopPoint.ENTRY_FULL, request.generatedKey()));
    }
    Pending added = new Pending(request, now);
    pending.put(id, added);
    List<Effect> out = new ArrayList<>();
    send(id, added, out);
    return out;
  }

  @Override
  public List<Effect> answered(RunOnceAnswered message, Instant now) {
    Pending asked = pending.get(message.id());
    if (asked == null) {
      return List.of();
    }
    if (message.answer().isEmpty()) {
      asked.takeBack(message.epoch(), now);
      return List.of();
    }
    pending.remove(message.id());
    RunOnceAnswer answer = truthful(message.answer().get(), asked);
    return List.of(new AnswerCaller(message.id(), answer));
  }

  @Override
  public List<Effect> tick(Instant now) {
    List<Effect> out = new ArrayList<>();
    pending.forEach((id, asked) -> send(id, asked, out));
    pending.entrySet().removeIf(entry -> expire(entry.getKey(), entry.getValue(), now, out));
    return out;
  }

  private void send(RequestId id, Pending asked, List<Effect> out) {
    Optional<Claim> claim = claims.current(asked.request.key().partition(claims.partitions()));
    if (claim.isEmpty() || asked.sentUnder.contains(claim.get().epoch())) {
      return;
    }
    boolean firstSend = asked.sentUnder.isEmpty() && asked.request.generatedKey();
    Epoch epoch = claim.get().epoch();
    asked.sentUnder.add(epoch);
    ForwardRunOnce message = new ForwardRunOnce(epoch, self, id, asked.request, firstSend);
    out.add(new SendPeerMessage(claim.get().holder(), message));
  }

  /**
   * Returns the answer without a "not run" that another holder could have made false.
   *
   * <p>A holder that was superseded answers "not run" of its own attempt, while the request, sent
   * on to its successor, runs there.
   */
  private static RunOnceAnswer truthful(RunOnceAnswer answer, Pending asked) {
    boolean notRun =
        answer.refusal().map(refusal -> refusal.run() == RunStatus.NOT_RUN).orElse(false);
    if (!notRun || asked.sentUnder.size() == 1) {
      return answer;
    }
    Refusal told = answer.refusal().get();
    Refusal careful =
        new Refusal(
            told.reason(),
            RunStatus.MAY_HAVE_RUN,
            told.retryAfter(),
            told.detail(),
            told.findings());
    return new RunOnceAnswer(answer.result(), answer.stopPoint(), Optional.of(careful));
  }

  private static boolean expire(RequestId id, Pending asked, Instant now, List<Effect> out) {
    boolean sent = !asked.sentUnder.isEmpty();
    boolean late = !asked.request.deadline().plus(ANSWER_GRACE).isAfter(now);
    boolean nobody = !sent && !asked.idleSince.plus(HOLDER_PATIENCE).isAfter(now);
    if (!late && !nobody) {
      return false;
    }
    StopPoint point = sent ? StopPoint.HOLDER_SILENT : StopPoint.NO_HOLDER;
    out.add(stopped(id, point, !sent && asked.request.generatedKey()));
    return true;
  }

  private static Effect stopped(RequestId id, StopPoint point, boolean firstSend) {
    return new AnswerCaller(id, RunOnceAnswer.stopped(point, firstSend));
  }

  private static final class Pending {

    private final RunOnceRequest request;
    private final Set<Epoch> sentUnder = new HashSet<>();

    private Instant idleSince;
    private boolean redirected;

    private Pending(RunOnceRequest request, Instant now) {
      this.request = request;
      this.idleSince = now;
    }

    /** Notes that the holder of an epoch has run nothing and never will. */
    private void takeBack(Epoch epoch, Instant now) {
      boolean removed = sentUnder.remove(epoch);
      if (removed && sentUnder.isEmpty() && !redirected) {
        redirected = true;
        idleSince = now;
      }
    }
  }
}

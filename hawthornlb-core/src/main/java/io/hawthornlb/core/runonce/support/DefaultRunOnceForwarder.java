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
 * Default forwarder, which sends each request at most once to each holder.
 *
 * <p>The forwarder never sends a request twice to one holder: the second message could start
 * another attempt after the first was answered with "not run". It may send a request to a holder
 * again only after that holder replied that it has run nothing and never will.
 */
public final class DefaultRunOnceForwarder implements RunOnceForwarder {

  private static final Duration ANSWER_GRACE = Duration.ofMillis(250);
  private static final Duration NO_HOLDER_TIMEOUT = Duration.ofSeconds(3);

  private final InstanceId self;
  private final ClaimView claims;
  private final int maxPending;
  private final Map<RequestId, Pending> pending = new LinkedHashMap<>();

  /**
   * Creates the forwarder of an entry instance.
   *
   * @param self the entry instance
   * @param claims provides the current holder of a partition
   * @param maxPending the maximum number of requests in progress
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
    Pending awaited = pending.get(message.id());
    if (awaited == null) {
      return List.of();
    }
    if (message.answer().isEmpty()) {
      awaited.withdraw(message.epoch(), now);
      return List.of();
    }
    pending.remove(message.id());
    RunOnceAnswer answer = withoutUnsafeNotRun(message.answer().get(), awaited);
    return List.of(new AnswerCaller(message.id(), answer));
  }

  @Override
  public List<Effect> tick(Instant now) {
    List<Effect> out = new ArrayList<>();
    pending.forEach((id, awaited) -> send(id, awaited, out));
    pending.entrySet().removeIf(entry -> expire(entry.getKey(), entry.getValue(), now, out));
    return out;
  }

  private void send(RequestId id, Pending awaited, List<Effect> out) {
    Optional<Claim> claim = claims.current(awaited.request.key().partition(claims.partitions()));
    if (claim.isEmpty() || awaited.sentUnder.contains(claim.get().epoch())) {
      return;
    }
    boolean firstSend = awaited.sentUnder.isEmpty() && awaited.request.generatedKey();
    Epoch epoch = claim.get().epoch();
    awaited.sentUnder.add(epoch);
    ForwardRunOnce message = new ForwardRunOnce(epoch, self, id, awaited.request, firstSend);
    out.add(new SendPeerMessage(claim.get().holder(), message));
  }

  /**
   * Returns the answer, with "not run" replaced by "may have run" if the request was sent to
   * several holders.
   *
   * <p>A superseded holder answers "not run" for its own attempt, while the request may run at the
   * successor, to which it was forwarded too.
   */
  private static RunOnceAnswer withoutUnsafeNotRun(RunOnceAnswer answer, Pending awaited) {
    boolean notRun =
        answer.refusal().map(refusal -> refusal.run() == RunStatus.NOT_RUN).orElse(false);
    if (!notRun || awaited.sentUnder.size() == 1) {
      return answer;
    }
    Refusal original = answer.refusal().get();
    Refusal weakened =
        new Refusal(
            original.reason(),
            RunStatus.MAY_HAVE_RUN,
            original.retryAfter(),
            original.detail(),
            original.findings());
    return new RunOnceAnswer(answer.result(), answer.stopPoint(), Optional.of(weakened));
  }

  private static boolean expire(RequestId id, Pending awaited, Instant now, List<Effect> out) {
    boolean sent = !awaited.sentUnder.isEmpty();
    boolean overdue = !awaited.request.deadline().plus(ANSWER_GRACE).isAfter(now);
    boolean noHolder = !sent && !awaited.unsentSince.plus(NO_HOLDER_TIMEOUT).isAfter(now);
    if (!overdue && !noHolder) {
      return false;
    }
    StopPoint point = sent ? StopPoint.HOLDER_SILENT : StopPoint.NO_HOLDER;
    out.add(stopped(id, point, !sent && awaited.request.generatedKey()));
    return true;
  }

  private static Effect stopped(RequestId id, StopPoint point, boolean firstSend) {
    return new AnswerCaller(id, RunOnceAnswer.stopped(point, firstSend));
  }

  private static final class Pending {

    private final RunOnceRequest request;
    private final Set<Epoch> sentUnder = new HashSet<>();

    private Instant unsentSince;
    private boolean redirected;

    private Pending(RunOnceRequest request, Instant now) {
      this.request = request;
      this.unsentSince = now;
    }

    /** Records that the holder of an epoch has run nothing for the request and never will. */
    private void withdraw(Epoch epoch, Instant now) {
      boolean removed = sentUnder.remove(epoch);
      if (removed && sentUnder.isEmpty() && !redirected) {
        redirected = true;
        unsentSince = now;
      }
    }
  }
}

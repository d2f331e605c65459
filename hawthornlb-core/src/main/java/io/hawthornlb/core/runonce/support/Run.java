package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.runonce.EntryState;
import io.hawthornlb.core.runonce.RunOnceAnswer;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.RunOnceRequest;
import io.hawthornlb.core.runonce.ServiceResult;
import io.hawthornlb.core.runonce.StopPoint;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One attempt that this instance makes, until its outcome is in the log. */
final class Run {

  private final RunOnceRequest request;
  private final Instant createdAt;
  private final Set<InstanceId> acks = new HashSet<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private RunOnceEntry entry;
  private Phase phase = Phase.STORING;
  private Instant endedAt = Instant.MAX;
  private Instant sentAt;
  private boolean replicationRequested;

  Run(RunOnceRequest request, RunOnceEntry intent, Instant now) {
    this.request = request;
    this.entry = intent;
    this.createdAt = now;
    this.sentAt = now;
  }

  RunOnceRequest request() {
    return request;
  }

  RunOnceEntry entry() {
    return entry;
  }

  Phase phase() {
    return phase;
  }

  Instant createdAt() {
    return createdAt;
  }

  Instant endedAt() {
    return endedAt;
  }

  Instant sentAt() {
    return sentAt;
  }

  void sent(Instant now) {
    sentAt = now;
  }

  /** Records that replicas were asked to keep this attempt. */
  void replicationRequested() {
    replicationRequested = true;
  }

  boolean isReplicationRequested() {
    return replicationRequested;
  }

  Set<InstanceId> acks() {
    return acks;
  }

  List<Waiter> waiters() {
    return waiters;
  }

  void dispatched() {
    phase = Phase.RUNNING;
  }

  void end(RunOnceEntry ended, Instant now) {
    entry = ended;
    phase = Phase.ENDED;
    endedAt = now;
    acks.clear();
  }

  int resultBytes() {
    return entry.result().map(result -> result.body().length()).orElse(0);
  }

  /** Sends the outcome of this attempt to all waiting callers. */
  void answerAll(List<Effect> out) {
    waiters.forEach(waiter -> out.add(waiter.answer(answer())));
    waiters.clear();
  }

  void stopAll(StopPoint point, List<Effect> out) {
    waiters.forEach(waiter -> out.add(waiter.stopped(point)));
    waiters.clear();
  }

  void redirectAll(List<Effect> out) {
    waiters.forEach(waiter -> out.add(waiter.redirected()));
    waiters.clear();
  }

  /**
   * Answers waiting callers whose deadline has passed, with the stop point of the current phase.
   */
  void stopExpired(Instant now, List<Effect> out) {
    StopPoint point =
        phase == Phase.STORING ? StopPoint.INTENT_NOT_DURABLE : StopPoint.STILL_RUNNING;
    waiters.removeIf(
        waiter -> {
          if (waiter.expired(now)) {
            out.add(waiter.stopped(point));
          }
          return waiter.expired(now);
        });
  }

  private RunOnceAnswer answer() {
    if (entry.state() == EntryState.COMPLETED) {
      ServiceResult result = entry.result().orElseThrow();
      return RunOnceAnswer.of(result);
    }
    StopPoint point =
        entry.state() == EntryState.ABANDONED
            ? StopPoint.NOT_DISPATCHED
            : StopPoint.ENDPOINT_FAILED;
    return RunOnceAnswer.stopped(point, false);
  }

  /** Progress of the attempt. */
  enum Phase {
    /** The intent is not known to be durable; the call has not been dispatched. */
    STORING,
    /** The call has been dispatched. */
    RUNNING,
    /** The call has ended, or was abandoned before it was dispatched. */
    ENDED
  }
}

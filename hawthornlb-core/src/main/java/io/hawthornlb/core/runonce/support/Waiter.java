package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.runonce.ForwardRunOnce;
import io.hawthornlb.core.runonce.RunOnceAnswer;
import io.hawthornlb.core.runonce.RunOnceAnswered;
import io.hawthornlb.core.runonce.StopPoint;
import java.time.Instant;
import java.util.Optional;

/**
 * A question that waits for its answer.
 *
 * @param replyTo the entry that asked
 * @param id identifies the question
 * @param epoch the epoch of the question
 * @param firstSend whether nobody can have sent the key before
 * @param deadline when the caller needs the answer
 */
record Waiter(InstanceId replyTo, RequestId id, Epoch epoch, boolean firstSend, Instant deadline) {

  static Waiter of(ForwardRunOnce question) {
    return new Waiter(
        question.replyTo(),
        question.id(),
        question.epoch(),
        question.firstSend(),
        question.request().deadline());
  }

  Effect answer(RunOnceAnswer answer) {
    return new SendPeerMessage(replyTo, new RunOnceAnswered(id, epoch, Optional.of(answer)));
  }

  Effect stopped(StopPoint point) {
    return answer(RunOnceAnswer.stopped(point, firstSend));
  }

  Effect redirected() {
    return new SendPeerMessage(replyTo, new RunOnceAnswered(id, epoch, Optional.empty()));
  }

  boolean late(Instant now) {
    return !deadline.isAfter(now);
  }
}

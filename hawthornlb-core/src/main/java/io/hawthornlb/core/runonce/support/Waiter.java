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
 * Forwarded request whose caller waits for the answer.
 *
 * @param replyTo the entry instance that forwarded the request
 * @param id identifies the forwarded request
 * @param epoch the epoch of the forwarded request
 * @param firstSend whether the key cannot have been sent before
 * @param deadline when the caller needs the answer
 */
record Waiter(InstanceId replyTo, RequestId id, Epoch epoch, boolean firstSend, Instant deadline) {

  static Waiter of(ForwardRunOnce message) {
    return new Waiter(
        message.replyTo(),
        message.id(),
        message.epoch(),
        message.firstSend(),
        message.request().deadline());
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

  boolean expired(Instant now) {
    return !deadline.isAfter(now);
  }
}

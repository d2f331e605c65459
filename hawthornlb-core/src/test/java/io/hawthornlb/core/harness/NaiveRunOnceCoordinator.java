package io.hawthornlb.core.harness;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.partition.HeldPartition;
import io.hawthornlb.core.runonce.AttemptId;
import io.hawthornlb.core.runonce.CallAnswered;
import io.hawthornlb.core.runonce.ForwardRunOnce;
import io.hawthornlb.core.runonce.RunCall;
import io.hawthornlb.core.runonce.RunOnceAnswer;
import io.hawthornlb.core.runonce.RunOnceAnswered;
import io.hawthornlb.core.runonce.RunOnceCoordinator;
import io.hawthornlb.core.runonce.RunOnceEvent;
import io.hawthornlb.core.runonce.RunOnceKey;
import io.hawthornlb.core.runonce.ServiceResult;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reference implementation that runs requests at once, and remembers keys only in its own memory.
 */
final class NaiveRunOnceCoordinator implements RunOnceCoordinator {

  private final PartitionId partition;
  private final HeldPartition held;
  private final Map<RunOnceKey, ServiceResult> results = new HashMap<>();
  private final Map<RunOnceKey, List<ForwardRunOnce>> waiting = new HashMap<>();

  NaiveRunOnceCoordinator(PartitionId partition, HeldPartition held) {
    this.partition = partition;
    this.held = held;
  }

  @Override
  public List<Effect> on(RunOnceEvent event, Instant now) {
    if (event instanceof ForwardRunOnce message) {
      return take(message);
    }
    if (event instanceof CallAnswered answer) {
      results.put(answer.key(), answer.result());
      List<Effect> out = new ArrayList<>();
      waiting
          .getOrDefault(answer.key(), List.of())
          .forEach(message -> out.add(answer(message, answer.result())));
      return out;
    }
    return List.of();
  }

  @Override
  public boolean drained() {
    return true;
  }

  private List<Effect> take(ForwardRunOnce message) {
    RunOnceKey key = message.request().key();
    if (held.claim().isEmpty()) {
      RunOnceAnswered redirect =
          new RunOnceAnswered(message.id(), message.epoch(), Optional.empty());
      return List.of(new SendPeerMessage(message.replyTo(), redirect));
    }
    if (results.containsKey(key)) {
      return List.of(answer(message, results.get(key)));
    }
    boolean isFirst = !waiting.containsKey(key);
    waiting.computeIfAbsent(key, id -> new ArrayList<>()).add(message);
    AttemptId attempt = new AttemptId(new Epoch(0), 0);
    return isFirst ? List.of(new RunCall(partition, attempt, message.request())) : List.of();
  }

  private static Effect answer(ForwardRunOnce message, ServiceResult result) {
    Optional<RunOnceAnswer> answer = Optional.of(RunOnceAnswer.of(result));
    return new SendPeerMessage(
        message.replyTo(), new RunOnceAnswered(message.id(), message.epoch(), answer));
  }
}

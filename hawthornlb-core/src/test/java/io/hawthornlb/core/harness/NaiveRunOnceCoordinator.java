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

/** The naive twin: runs at once and remembers keys in its own memory only. */
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
    if (event instanceof ForwardRunOnce question) {
      return take(question);
    }
    if (event instanceof CallAnswered answer) {
      results.put(answer.key(), answer.result());
      List<Effect> out = new ArrayList<>();
      waiting
          .getOrDefault(answer.key(), List.of())
          .forEach(question -> out.add(answer(question, answer.result())));
      return out;
    }
    return List.of();
  }

  @Override
  public boolean drained() {
    return true;
  }

  private List<Effect> take(ForwardRunOnce question) {
    RunOnceKey key = question.request().key();
    if (held.claim().isEmpty()) {
      RunOnceAnswered redirect =
          new RunOnceAnswered(question.id(), question.epoch(), Optional.empty());
      return List.of(new SendPeerMessage(question.replyTo(), redirect));
    }
    if (results.containsKey(key)) {
      return List.of(answer(question, results.get(key)));
    }
    boolean first = !waiting.containsKey(key);
    waiting.computeIfAbsent(key, id -> new ArrayList<>()).add(question);
    AttemptId attempt = new AttemptId(new Epoch(0), 0);
    return first ? List.of(new RunCall(partition, attempt, question.request())) : List.of();
  }

  private static Effect answer(ForwardRunOnce question, ServiceResult result) {
    Optional<RunOnceAnswer> answer = Optional.of(RunOnceAnswer.of(result));
    return new SendPeerMessage(
        question.replyTo(), new RunOnceAnswered(question.id(), question.epoch(), answer));
  }
}

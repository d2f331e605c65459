package io.hawthornlb.core.runonce;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.RequestId;
import java.time.Instant;
import java.util.List;

/**
 * Brings run-once requests of callers to the holders of their partitions and the answers back.
 *
 * <p>Every entry has one. It asks again when the holder changes or stays silent, and answers by
 * {@link AnswerCaller} exactly once a request, by its deadline at the latest.
 */
public interface RunOnceForwarder {

  /** Takes a request of a caller. */
  List<Effect> submit(RequestId id, RunOnceRequest request, Instant now);

  /** Takes the answer of a holder. */
  List<Effect> answered(RunOnceAnswered answer, Instant now);

  /** Looks for new holders and passed deadlines; called several times a second. */
  List<Effect> tick(Instant now);
}

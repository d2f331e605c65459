package io.hawthornlb.core.runonce;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.RequestId;
import java.time.Instant;
import java.util.List;

/**
 * Forwards run-once requests of callers to the holders of their partitions and returns the answers.
 *
 * <p>Every entry instance has one forwarder. The forwarder sends a request again when the holder of
 * its partition changes. It answers each request by exactly one {@link AnswerCaller}, at the latest
 * shortly after the deadline of the request.
 */
public interface RunOnceForwarder {

  /** Accepts a request of a caller and forwards it. */
  List<Effect> submit(RequestId id, RunOnceRequest request, Instant now);

  /** Handles the reply of a holder. */
  List<Effect> answered(RunOnceAnswered answer, Instant now);

  /**
   * Forwards requests to new holders, and answers requests whose deadline has passed. Call this
   * method several times a second.
   */
  List<Effect> tick(Instant now);
}

package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.util.Checks;
import java.util.Optional;

/**
 * Answer to the caller: a result, or a refusal with the point at which the request stopped.
 *
 * @param result the response of the endpoint
 * @param stopPoint the point at which the request stopped
 * @param refusal the refusal to return to the caller
 */
public record RunOnceAnswer(
    Optional<ServiceResult> result, Optional<StopPoint> stopPoint, Optional<Refusal> refusal) {

  /** Checks that there is either a result or a refusal, and a stop point exactly with a refusal. */
  public RunOnceAnswer {
    Checks.isTrue(
        result.isPresent() != refusal.isPresent(), "an answer has either a result or a refusal");
    Checks.isTrue(
        stopPoint.isPresent() == refusal.isPresent(),
        "an answer has a stop point exactly if it has a refusal");
  }

  /** Returns an answer with a result. */
  public static RunOnceAnswer of(ServiceResult result) {
    return new RunOnceAnswer(Optional.of(result), Optional.empty(), Optional.empty());
  }

  /**
   * Returns the answer to a request that was not dispatched, with the given reason in place of the
   * default reason of {@link StopPoint#NOT_DISPATCHED}.
   */
  public static RunOnceAnswer notDispatched(RefusalReason reason) {
    Refusal standard = StopPoint.NOT_DISPATCHED.refusal(true);
    Refusal refusal =
        new Refusal(
            reason, standard.run(), standard.retryAfter(), standard.detail(), standard.findings());
    return new RunOnceAnswer(
        Optional.empty(), Optional.of(StopPoint.NOT_DISPATCHED), Optional.of(refusal));
  }

  /**
   * Returns the answer to a request that stopped without a result.
   *
   * @param point the point at which the request stopped
   * @param firstSend whether the key cannot have been sent before
   */
  public static RunOnceAnswer stopped(StopPoint point, boolean firstSend) {
    Refusal refusal = point.refusal(firstSend);
    return new RunOnceAnswer(Optional.empty(), Optional.of(point), Optional.of(refusal));
  }
}

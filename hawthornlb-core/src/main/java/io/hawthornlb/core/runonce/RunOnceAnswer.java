package io.hawthornlb.core.runonce;

import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.util.Checks;
import java.util.Optional;

/**
 * What the caller is told: a result, or a refusal with the point where the request stopped.
 *
 * @param result the answer of the endpoint
 * @param stopPoint where the request stopped
 * @param refusal the reason
 */
public record RunOnceAnswer(
    Optional<ServiceResult> result, Optional<StopPoint> stopPoint, Optional<Refusal> refusal) {

  /** Checks that there is either a result or a refusal. */
  public RunOnceAnswer {
    Checks.isTrue(result.isPresent() != refusal.isPresent(), "either a result or a refusal");
    Checks.isTrue(stopPoint.isPresent() == refusal.isPresent(), "a refusal has its stop point");
  }

  /** Returns the answer with a result. */
  public static RunOnceAnswer of(ServiceResult result) {
    return new RunOnceAnswer(Optional.of(result), Optional.empty(), Optional.empty());
  }

  /** Returns the answer to a request that stopped before its dispatch, for a reason of its own. */
  public static RunOnceAnswer notDispatched(RefusalReason reason) {
    Refusal standard = StopPoint.NOT_DISPATCHED.refusal(true);
    Refusal refusal =
        new Refusal(
            reason, standard.run(), standard.retryAfter(), standard.detail(), standard.findings());
    return new RunOnceAnswer(
        Optional.empty(), Optional.of(StopPoint.NOT_DISPATCHED), Optional.of(refusal));
  }

  /**
   * Returns the answer to a request that stopped.
   *
   * @param point where it stopped
   * @param firstSend whether nobody can have sent the key before
   */
  public static RunOnceAnswer stopped(StopPoint point, boolean firstSend) {
    Refusal refusal = point.refusal(firstSend);
    return new RunOnceAnswer(Optional.empty(), Optional.of(point), Optional.of(refusal));
  }
}

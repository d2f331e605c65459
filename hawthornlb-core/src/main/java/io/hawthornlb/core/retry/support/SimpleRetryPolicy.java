package io.hawthornlb.core.retry.support;

import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.retry.FailedAttempt;
import io.hawthornlb.core.retry.Retry;
import io.hawthornlb.core.retry.RetryPolicy;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;

/**
 * Policy that retries immediately, up to a fixed number of attempts, without a budget.
 *
 * <p>Reference implementation of differential tests and baseline of measurements.
 */
public final class SimpleRetryPolicy implements RetryPolicy {

  private final int attempts;

  /** Creates a policy with a maximum number of attempts, including the first. */
  public SimpleRetryPolicy(int attempts) {
    this.attempts = attempts;
  }

  @Override
  public void onFirstAttempt(Instant now) {}

  @Override
  public Either<Refusal, Retry> onFailure(FailedAttempt attempt, Instant now) {
    if (!attempt.repeatable() || attempt.attempt() >= attempts) {
      return Either.left(attempt.refusal());
    }
    return Either.right(new Retry(Duration.ZERO, Set.of()));
  }
}

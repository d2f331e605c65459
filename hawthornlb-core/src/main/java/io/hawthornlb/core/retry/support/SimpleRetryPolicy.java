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
 * Naive policy that tries again at once, a fixed number of times, without a budget.
 *
 * <p>The reference of differential tests and the baseline of measurements.
 */
public final class SimpleRetryPolicy implements RetryPolicy {

  private final int attempts;

  /** Creates a policy with a number of attempts in all. */
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

package io.hawthornlb.core.retry.support;

import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.retry.FailedAttempt;
import io.hawthornlb.core.retry.Retry;
import io.hawthornlb.core.retry.RetryPolicy;
import io.hawthornlb.core.retry.RetrySettings;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * Policy that retries within a budget, after an exponential back-off with jitter, and not at
 * endpoints where the request has failed.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {

  private final RetrySettings settings;
  private final RetryBudget budget;
  private final RandomGenerator random;

  /** Creates a policy with the given settings and source of jitter. */
  public BudgetedRetryPolicy(RetrySettings settings, RandomGenerator random) {
    this.settings = settings;
    this.budget = new RetryBudget(settings);
    this.random = random;
  }

  @Override
  public void onFirstAttempt(Instant now) {
    budget.earn(now);
  }

  @Override
  public Either<Refusal, Retry> onFailure(FailedAttempt attempt, Instant now) {
    // A call that may have been executed must not be executed again, since its effect, such as the
    // payment of a worker, would happen twice.
    boolean mayRepeat = attempt.repeatable() || !attempt.sent();
    if (!mayRepeat || attempt.attempt() >= settings.attempts()) {
      return Either.left(attempt.refusal());
    }
    Duration delay = backoff(attempt.attempt());
    if (now.plus(delay).plus(settings.minServiceTime()).isAfter(attempt.deadline())) {
      return Either.left(attempt.refusal());
    }
    // If a whole service fails, each request is sent several times, and the endpoints that still
    // work fail under the load. The budget limits the extra load to a fixed fraction.
    if (!budget.take(now)) {
      return Either.left(attempt.refusal());
    }
    return Either.right(new Retry(delay, attempt.failed()));
  }

  private Duration backoff(int attempt) {
    long max = settings.initialBackoff().toMillis() << Math.min(attempt - 1, 20);
    return Duration.ofMillis(random.nextLong(Math.min(max, settings.maxBackoff().toMillis()) + 1));
  }
}

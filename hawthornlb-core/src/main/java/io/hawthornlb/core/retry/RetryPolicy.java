package io.hawthornlb.core.retry;

import io.hawthornlb.core.model.Refusal;
import io.vavr.control.Either;
import java.time.Instant;

/**
 * Determines whether, when and where a failed request is retried. Implementations are confined to
 * one thread.
 */
public interface RetryPolicy {

  /** Records the first attempt of a request, which adds to the retry budget. */
  void onFirstAttempt(Instant now);

  /** Returns the retry, or the refusal that ends the request. */
  Either<Refusal, Retry> onFailure(FailedAttempt attempt, Instant now);
}

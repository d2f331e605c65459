package io.hawthornlb.core.retry;

import io.hawthornlb.core.model.Refusal;
import io.vavr.control.Either;
import java.time.Instant;

/** Decides on failed attempts; confined to one thread. */
public interface RetryPolicy {

  /** Counts a first attempt, which earns budget. */
  void onFirstAttempt(Instant now);

  /** Returns the next attempt, or the final answer at once. */
  Either<Refusal, Retry> onFailure(FailedAttempt attempt, Instant now);
}

package io.hawthornlb.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.retry.support.BudgetedRetryPolicy;
import io.hawthornlb.core.retry.support.SimpleRetryPolicy;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RetryFailureTest {

  private static final Instant NOW = Instant.EPOCH;
  private static final Refusal FAILED =
      Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, "the endpoint failed");

  // Endpoints that still work fail one after the other: a part of the fleet fails, each request is
  // sent several times, and the rest gets several times its load.
  @Test
  void retriesStayWithinTheBudgetWhenAllFails() {
    assertEquals(3_000, attempts(new SimpleRetryPolicy(3), 1_000), "the naive twin");
    int guarded = attempts(guarded(), 1_000);
    assertTrue(guarded <= 1_000 * 1.1 + 10 + 20, () -> "attempts " + guarded);
  }

  // A worker is paid twice: the check-in's connection broke after it was sent, and it is sent
  // again to another endpoint.
  @Test
  void aCallThatMayHaveRunIsNotRepeated() {
    assertTrue(guarded().onFailure(attempt(1, false, true, 30), NOW).isLeft());
    assertTrue(guarded().onFailure(attempt(1, false, false, 30), NOW).isRight());
  }

  @Test
  void noAttemptBeginsThatCannotEndByTheDeadline() {
    Either<Refusal, Retry> answer = guarded().onFailure(attempt(1, true, true, 0), NOW);
    assertEquals(FAILED, answer.getLeft());
  }

  // A request fails three times at the same endpoint, the only one that is broken.
  @Test
  void noAttemptGoesWhereItHasFailed() {
    Set<EndpointId> failed = Set.of(new EndpointId("engine-0"));
    assertEquals(failed, guarded().onFailure(attempt(1, true, true, 30), NOW).get().excluded());
  }

  // All entries try again in the same instant, again and again, and overrun the endpoint that has
  // just come back.
  @Test
  void attemptsAreSpreadOverTime() {
    RetryPolicy policy = guarded();
    Set<Duration> delays = new HashSet<>();
    for (int i = 0; i < 10; i++) {
      delays.add(policy.onFailure(attempt(2, true, true, 30), NOW).get().delay());
    }
    assertTrue(delays.size() > 5, () -> "delays " + delays);
    assertTrue(delays.stream().allMatch(d -> d.compareTo(Duration.ofMillis(100)) <= 0));
  }

  private static int attempts(RetryPolicy policy, int requests) {
    int attempts = 0;
    for (int i = 0; i < requests; i++) {
      Instant now = NOW.plusMillis(i * 10L);
      policy.onFirstAttempt(now);
      int attempt = 1;
      attempts++;
      while (policy.onFailure(attempt(attempt, true, true, 60), now).isRight()) {
        attempt++;
        attempts++;
      }
    }
    return attempts;
  }

  private static RetryPolicy guarded() {
    return new BudgetedRetryPolicy(RetrySettings.DEFAULT, new Random(1));
  }

  private static FailedAttempt attempt(
      int number, boolean repeatable, boolean sent, int deadlineSeconds) {
    return new FailedAttempt(
        new RequestId("r"),
        number,
        repeatable,
        sent,
        Set.of(new EndpointId("engine-0")),
        NOW.plusSeconds(deadlineSeconds),
        FAILED);
  }
}

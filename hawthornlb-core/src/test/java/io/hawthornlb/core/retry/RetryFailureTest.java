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

  // Guards against the overload of healthy endpoints when a part of the fleet fails: each request
  // is sent several times, and the remaining endpoints get several times their load.
  @Test
  void retriesStayWithinTheBudgetWhenAllFails() {
    assertEquals(
        3_000,
        attempts(new SimpleRetryPolicy(3), 1_000),
        "the baseline must make three attempts for each request");
    int budgeted = attempts(budgeted(), 1_000);
    assertTrue(budgeted <= 1_000 * 1.1 + 10 + 20, () -> "attempts " + budgeted);
  }

  // Guards against a second execution when the connection of a non-repeatable call breaks after the
  // call was sent.
  @Test
  void aCallThatMayHaveRunIsNotRetried() {
    assertTrue(budgeted().onFailure(attempt(1, false, true, 30), NOW).isLeft());
    assertTrue(budgeted().onFailure(attempt(1, false, false, 30), NOW).isRight());
  }

  @Test
  void noAttemptStartsThatCannotEndByTheDeadline() {
    Either<Refusal, Retry> answer = budgeted().onFailure(attempt(1, true, true, 0), NOW);
    assertEquals(FAILED, answer.getLeft());
  }

  // Guards against retries at the endpoint where the request has already failed.
  @Test
  void retryExcludesTheEndpointsThatFailed() {
    Set<EndpointId> failed = Set.of(new EndpointId("engine-0"));
    assertEquals(failed, budgeted().onFailure(attempt(1, true, true, 30), NOW).get().excluded());
  }

  // Guards against synchronized retries of all entry instances that overload an endpoint which has
  // just recovered.
  @Test
  void attemptsAreSpreadOverTime() {
    RetryPolicy policy = budgeted();
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

  private static RetryPolicy budgeted() {
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

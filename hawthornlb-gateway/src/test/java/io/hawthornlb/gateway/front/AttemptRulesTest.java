package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.front.AttemptRules.State;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.route.ServiceShare;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Covers each point at which a request can fail, and the step that follows there. */
class AttemptRulesTest {

  private static final State FIRST_NOT_RUN = new State(0, 1, false, true);
  private static final State FIRST_FAILED = new State(1, 0, false, true);
  private static final State FAILED_MIDWAY = new State(1, 0, true, true);

  @Test
  void retriesAtAnotherEndpointIfTheRequestHasNotRun() {
    assertEquals(NextStep.SEND_AGAIN, AttemptRules.afterNotRun(FIRST_NOT_RUN));
    assertEquals(NextStep.RESUME, AttemptRules.afterNotRun(new State(1, 1, true, true)));
  }

  @Test
  void refusesOnlyRequestsThatHaveNotRun() {
    assertEquals(NextStep.REFUSE, AttemptRules.afterNotRun(new State(0, 4, false, true)));
    assertEquals(NextStep.REFUSE, AttemptRules.afterNotRun(new State(0, 1, false, false)));
    assertEquals(NextStep.FAIL, AttemptRules.afterNotRun(new State(1, 4, false, true)));
    assertEquals(NextStep.BREAK_OFF, AttemptRules.afterNotRun(new State(1, 4, true, true)));
  }

  @Test
  void retriesIdempotentRequestsUpToMaxAttempts() {
    Route route = route(RouteKind.IDEMPOTENT, 2, false);
    assertEquals(NextStep.SEND_AGAIN, AttemptRules.afterFailure(route, FIRST_FAILED));
    assertEquals(NextStep.FAIL, AttemptRules.afterFailure(route, new State(2, 0, false, true)));
    assertEquals(NextStep.FAIL, AttemptRules.afterFailure(route, new State(1, 0, false, false)));
    assertEquals(NextStep.BREAK_OFF, AttemptRules.afterFailure(route, FAILED_MIDWAY));
  }

  @Test
  void neverRetriesARunOnceRequestThatMayHaveRun() {
    Route route = route(RouteKind.ONCE, 3, false);
    assertEquals(NextStep.FAIL, AttemptRules.afterFailure(route, FIRST_FAILED));
    assertEquals(NextStep.BREAK_OFF, AttemptRules.afterFailure(route, FAILED_MIDWAY));
  }

  @Test
  void resumesOnlyResumableStreams() {
    assertEquals(
        NextStep.RESUME,
        AttemptRules.afterFailure(route(RouteKind.STREAM, 2, true), FAILED_MIDWAY));
    assertEquals(
        NextStep.RESUME, AttemptRules.afterFailure(route(RouteKind.STREAM, 2, true), FIRST_FAILED));
    assertEquals(
        NextStep.BREAK_OFF,
        AttemptRules.afterFailure(route(RouteKind.STREAM, 2, false), FAILED_MIDWAY));
    assertEquals(
        NextStep.FAIL, AttemptRules.afterFailure(route(RouteKind.STREAM, 2, false), FIRST_FAILED));
  }

  private static Route route(RouteKind kind, int maxAttempts, boolean resumable) {
    return Route.builder("h", "/a/")
        .name("r")
        .kind(kind)
        .timeout(Duration.ofSeconds(1))
        .objective(Duration.ofSeconds(1))
        .services(List.of(new ServiceShare("s", 1)))
        .maxAttempts(maxAttempts)
        .resumable(resumable)
        .build();
  }
}

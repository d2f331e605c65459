package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.front.AttemptRules.State;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.route.ServiceShare;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each point at which a request can stop, and what the caller is told there. */
class AttemptRulesTest {

  private static final State FIRST_NOT_RUN = new State(0, 1, false, true);
  private static final State FIRST_BROKEN = new State(1, 0, false, true);
  private static final State BROKEN_MIDWAY = new State(1, 0, true, true);

  @Test
  void sendsWhatHasNotRunToAnotherEndpoint() {
    assertEquals(NextStep.SEND_AGAIN, AttemptRules.afterNotRun(FIRST_NOT_RUN));
    assertEquals(NextStep.RESUME, AttemptRules.afterNotRun(new State(1, 1, true, true)));
  }

  @Test
  void refusesOnlyWhatHasNotRun() {
    assertEquals(NextStep.REFUSE, AttemptRules.afterNotRun(new State(0, 4, false, true)));
    assertEquals(NextStep.REFUSE, AttemptRules.afterNotRun(new State(0, 1, false, false)));
    assertEquals(NextStep.FAIL, AttemptRules.afterNotRun(new State(1, 4, false, true)));
    assertEquals(NextStep.BREAK_OFF, AttemptRules.afterNotRun(new State(1, 4, true, true)));
  }

  @Test
  void repeatsIdempotentRequestsWithinTheirAttempts() {
    Route route = route(RouteKind.IDEMPOTENT, 2, false);
    assertEquals(NextStep.SEND_AGAIN, AttemptRules.afterBreak(route, FIRST_BROKEN));
    assertEquals(NextStep.FAIL, AttemptRules.afterBreak(route, new State(2, 0, false, true)));
    assertEquals(NextStep.FAIL, AttemptRules.afterBreak(route, new State(1, 0, false, false)));
    assertEquals(NextStep.BREAK_OFF, AttemptRules.afterBreak(route, BROKEN_MIDWAY));
  }

  @Test
  void neverRepeatsARequestThatMayRunOnce() {
    Route route = route(RouteKind.ONCE, 3, false);
    assertEquals(NextStep.FAIL, AttemptRules.afterBreak(route, FIRST_BROKEN));
    assertEquals(NextStep.BREAK_OFF, AttemptRules.afterBreak(route, BROKEN_MIDWAY));
  }

  @Test
  void resumesOnlyStreamsThatMayBe() {
    assertEquals(
        NextStep.RESUME, AttemptRules.afterBreak(route(RouteKind.STREAM, 2, true), BROKEN_MIDWAY));
    assertEquals(
        NextStep.RESUME, AttemptRules.afterBreak(route(RouteKind.STREAM, 2, true), FIRST_BROKEN));
    assertEquals(
        NextStep.BREAK_OFF,
        AttemptRules.afterBreak(route(RouteKind.STREAM, 2, false), BROKEN_MIDWAY));
    assertEquals(
        NextStep.FAIL, AttemptRules.afterBreak(route(RouteKind.STREAM, 2, false), FIRST_BROKEN));
  }

  private static Route route(RouteKind kind, int maxAttempts, boolean resumable) {
    return new Route(
        "r",
        "h",
        "/a/",
        kind,
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        0,
        List.of(new ServiceShare("s", 1)),
        maxAttempts,
        resumable,
        null,
        null);
  }
}

package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;

/**
 * Decides the next step when an endpoint did not deliver a complete response. Pure functions,
 * without I/O or access to a clock.
 *
 * <p>A request counts as run from the moment its first byte was sent, unless the endpoint reports
 * that it did not run it. A request that may have run is sent again only if its route allows that.
 * A request that has not run may always be sent again, and only such a request may be reported to
 * the caller as not run.
 */
public final class AttemptRules {

  /**
   * Number of endpoints that may reject one request before the gateway refuses it; each rejection
   * costs a round trip.
   */
  static final int MAX_REJECTIONS = 4;

  private AttemptRules() {}

  /**
   * State of a request.
   *
   * @param runs endpoints on which the request has run or may have run
   * @param rejections endpoints that did not run the request
   * @param headSent whether the head of a response was sent to the caller
   * @param timeLeft whether there is time to try another endpoint
   */
  public record State(int runs, int rejections, boolean headSent, boolean timeLeft) {}

  /** Returns the next step after an endpoint reported that it did not run the request. */
  public static NextStep afterNotRun(State state) {
    if (state.timeLeft() && state.rejections() < MAX_REJECTIONS) {
      return state.headSent() ? NextStep.RESUME : NextStep.SEND_AGAIN;
    }
    return finalStep(state);
  }

  /** Returns the next step after an endpoint failed that has run or may have run the request. */
  public static NextStep afterFailure(Route route, State state) {
    boolean another = state.timeLeft() && state.runs() < route.maxAttempts();
    if (another && route.kind() == RouteKind.IDEMPOTENT && !state.headSent()) {
      return NextStep.SEND_AGAIN;
    }
    if (another && route.kind() == RouteKind.STREAM && route.resumable()) {
      return NextStep.RESUME;
    }
    return finalStep(state);
  }

  /** Returns the final step of a request that is sent to no further endpoint. */
  public static NextStep finalStep(State state) {
    if (state.headSent()) {
      return NextStep.BREAK_OFF;
    }
    return state.runs() == 0 ? NextStep.REFUSE : NextStep.FAIL;
  }
}

package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;

/**
 * Decides what follows when an endpoint did not answer a request whole. No I/O, no time.
 *
 * <p>A request counts as run from the moment when its first byte left, unless the endpoint says
 * that it did not run it. What has run may be sent again only where the route allows it; what has
 * not run may always be sent again, and only then may a caller be told so.
 */
public final class AttemptRules {

  /** Endpoints that may turn one request away before it is refused; each costs a round trip. */
  static final int MAX_TURNED_AWAY = 4;

  private AttemptRules() {}

  /**
   * State of a request.
   *
   * @param runs endpoints on which it has or may have run
   * @param turnedAway endpoints that did not run it
   * @param headSent whether the caller has the head of an answer
   * @param timeLeft whether there is time for another endpoint
   */
  public record State(int runs, int turnedAway, boolean headSent, boolean timeLeft) {}

  /** Returns what follows when an endpoint did not run the request. */
  public static NextStep afterNotRun(State state) {
    if (state.timeLeft() && state.turnedAway() < MAX_TURNED_AWAY) {
      return state.headSent() ? NextStep.RESUME : NextStep.SEND_AGAIN;
    }
    return gaveUp(state);
  }

  /** Returns what follows when an endpoint has or may have run the request. */
  public static NextStep afterBreak(Route route, State state) {
    boolean another = state.timeLeft() && state.runs() < route.maxAttempts();
    if (another && route.kind() == RouteKind.IDEMPOTENT && !state.headSent()) {
      return NextStep.SEND_AGAIN;
    }
    if (another && route.kind() == RouteKind.STREAM && route.resumable()) {
      return NextStep.RESUME;
    }
    return gaveUp(state);
  }

  /** Returns how a request ends that gets no further endpoint. */
  public static NextStep gaveUp(State state) {
    if (state.headSent()) {
      return NextStep.BREAK_OFF;
    }
    return state.runs() == 0 ? NextStep.REFUSE : NextStep.FAIL;
  }
}

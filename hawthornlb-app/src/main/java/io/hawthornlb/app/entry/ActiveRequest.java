package io.hawthornlb.app.entry;

import io.hawthornlb.app.dispatch.OnlineRequest;
import io.hawthornlb.core.chart.ChartInstance;
import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.StateChart;
import io.hawthornlb.core.chart.support.ChartResources;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RunStatus;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** What the instance remembers of a request between its offer and its end. */
final class ActiveRequest {

  private static final StateChart<RequestState, RequestEvent, RequestAction> CHART =
      ChartResources.load(
          ActiveRequest.class,
          "request.yaml",
          new ChartTypes<>(RequestState.class, RequestEvent.class, RequestAction.class));

  private final ChartInstance<RequestState, RequestEvent, RequestAction> state =
      new ChartInstance<>(CHART);
  private final OnlineRequest request;
  private final Instant offeredAt;
  private final Set<EndpointId> failed = new HashSet<>();
  private Set<EndpointId> excluded = Set.of();
  private @Nullable EndpointId endpoint;
  private int attempts;
  private boolean alone;
  private boolean mayHaveRun;

  ActiveRequest(OnlineRequest request, Instant offeredAt) {
    this.request = request;
    this.offeredAt = offeredAt;
  }

  OnlineRequest request() {
    return request;
  }

  Instant offeredAt() {
    return offeredAt;
  }

  int attempts() {
    return attempts;
  }

  Set<EndpointId> failed() {
    return failed;
  }

  Set<EndpointId> excluded() {
    return excluded;
  }

  /** Returns the endpoint that has the request now, or null between two tries. */
  @Nullable EndpointId endpoint() {
    return endpoint;
  }

  boolean alone() {
    return alone;
  }

  void startedAt(EndpointId target, boolean runsAlone) {
    endpoint = target;
    alone = runsAlone;
    fire(RequestEvent.STARTED);
  }

  void leftEndpoint() {
    fire(RequestEvent.LEFT);
  }

  void ended() {
    fire(RequestEvent.ENDED);
  }

  void failedAt(EndpointId target, boolean executionPossible) {
    failed.add(target);
    mayHaveRun |= executionPossible;
    fire(RequestEvent.FAILED);
  }

  void exclude(Set<EndpointId> endpoints) {
    excluded = endpoints;
  }

  /**
   * Returns a refusal that is true of all tries together.
   *
   * <p>A later try that reached no endpoint says "not run" of itself; said of the request, that
   * would be false when an earlier try broke after an endpoint had it.
   */
  Refusal truthful(Refusal refusal) {
    if (!mayHaveRun || refusal.run() == RunStatus.MAY_HAVE_RUN) {
      return refusal;
    }
    return new Refusal(
        refusal.reason(),
        RunStatus.MAY_HAVE_RUN,
        refusal.retryAfter(),
        refusal.detail(),
        refusal.findings());
  }

  private void fire(RequestEvent event) {
    for (RequestAction action : state.fire(event)) {
      switch (action) {
        case COUNT_ATTEMPT -> attempts++;
        case LEAVE_ENDPOINT -> endpoint = null;
        default -> throw new IllegalStateException("unknown action " + action);
      }
    }
  }
}

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

/** The state of an online request on this instance, from admission to the end of the request. */
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

  /** Returns the endpoint that currently has the request, or null between two attempts. */
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
   * Returns a refusal whose run status covers all attempts of the request.
   *
   * <p>The refusal of an attempt that reached no endpoint has the status "not run". That status is
   * wrong for the request if an earlier attempt failed after an endpoint had received the request.
   * In that case the returned refusal has the status "may have run".
   */
  Refusal forAllAttempts(Refusal refusal) {
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

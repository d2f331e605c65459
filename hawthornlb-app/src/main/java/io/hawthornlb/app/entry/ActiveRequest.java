package io.hawthornlb.app.entry;

import io.hawthornlb.app.dispatch.OnlineRequest;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RunStatus;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** What the instance remembers of a request between its offer and its end. */
final class ActiveRequest {

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
    attempts++;
  }

  void leftEndpoint() {
    endpoint = null;
  }

  void failedAt(EndpointId target, boolean executionPossible) {
    failed.add(target);
    mayHaveRun |= executionPossible;
    leftEndpoint();
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
}

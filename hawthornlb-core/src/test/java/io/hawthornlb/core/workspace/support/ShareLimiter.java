package io.hawthornlb.core.workspace.support;

import io.hawthornlb.core.admission.ShareExchange;
import io.hawthornlb.core.admission.ShareKey;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.LimitDecision;
import io.hawthornlb.core.workspace.WorkspaceLimit;
import io.hawthornlb.core.workspace.WorkspaceLimiter;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Limiter of one instance that allows its share of each limit, in proportion to its demand. */
final class ShareLimiter implements WorkspaceLimiter {

  private final ShareExchange exchange;
  private final Map<WorkspaceId, Use> uses = new HashMap<>();

  ShareLimiter(ShareExchange exchange) {
    this.exchange = exchange;
  }

  /** Measured demand and tokens of one workspace. */
  private static final class Use {

    private double arrivals;
    private double tokens = Double.MAX_VALUE;
    private Instant at;

    private Use(Instant at) {
      this.at = at;
    }
  }

  @Override
  public LimitDecision decide(WorkspaceId workspace, WorkspaceLimit limit, Instant now) {
    Use use = uses.computeIfAbsent(workspace, any -> new Use(now));
    double seconds = Duration.between(use.at, now).toNanos() / 1e9;
    use.arrivals = use.arrivals * Math.exp(-seconds) + 1;
    ShareKey key = new ShareKey(ShareKey.Kind.WORKSPACE_RATE, workspace.value());
    exchange.demand(key, use.arrivals);
    double rate = exchange.share(key, limit.requestsPerSecond(), now);
    double burst = Math.max(1, limit.burst() * rate / limit.requestsPerSecond());
    use.tokens = Math.min(burst, use.tokens + seconds * rate);
    use.at = now;
    if (use.tokens < 1) {
      return LimitDecision.refused(Duration.ofNanos((long) ((1 - use.tokens) / rate * 1e9)));
    }
    use.tokens--;
    return LimitDecision.ALLOWED;
  }

  @Override
  public void refund(WorkspaceId workspace) {
    uses.get(workspace).tokens++;
  }
}

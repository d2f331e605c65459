package io.hawthornlb.core.workspace.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.LimitDecision;
import io.hawthornlb.core.workspace.WorkspaceLimit;
import io.hawthornlb.core.workspace.WorkspaceLimiter;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Limiter with one token bucket a workspace, for an instance that decides for the whole fleet or
 * for a known share of it.
 *
 * <p>Several instances may decide for the same workspace: the coordinators of different services, a
 * coordinator and its successor. Each tells the others how many requests it has allowed, and their
 * ledgers take as many tokens.
 *
 * <p>A new ledger does not know what its predecessor has allowed. If each of its buckets began
 * full, a workspace would get its burst again with every lost coordinator. Its buckets therefore
 * begin with a few tokens and fill from there.
 */
public final class TokenLedger implements WorkspaceLimiter {

  /** Tokens that each bucket of a new ledger has, so that slow workspaces are not refused. */
  private static final double FIRST_TOKENS = 8;

  /** Time whose tokens a bucket of a new ledger has in addition. */
  private static final Duration FIRST_TIME = Duration.ofMillis(250);

  /** Longest time told to a refused caller; callers do not wait longer. */
  private static final Duration MAX_RETRY = Duration.ofSeconds(10);

  /** Number of buckets from which on those that are full again are removed. */
  private static final int CLEAN_SIZE = 1_000;

  private final Map<WorkspaceId, Bucket> buckets = new HashMap<>();
  private final Map<WorkspaceId, Integer> allowed = new HashMap<>();
  private Instant started;
  private double share = 1;
  private int cleanSize = CLEAN_SIZE;

  /** Creates a ledger that knows nothing of the requests before a moment. */
  public TokenLedger(Instant started) {
    this.started = started;
  }

  /** Discards what is known, because requests before a moment may have been allowed elsewhere. */
  public void restart(Instant now) {
    started = now;
    buckets.clear();
    allowed.clear();
  }

  /** Sets the share of each limit that this ledger may allow, above 0 and up to 1. */
  public void share(double newShare) {
    share = newShare;
  }

  @Override
  public LimitDecision decide(WorkspaceId workspace, WorkspaceLimit limit, Instant now) {
    Bucket bucket = bucket(workspace, limit, now);
    bucket.refill(limit, share, now);
    if (bucket.tokens < 1) {
      return LimitDecision.refused(bucket.retryAfter(now));
    }
    bucket.tokens--;
    allowed.merge(workspace, 1, Integer::sum);
    return LimitDecision.ALLOWED;
  }

  @Override
  public void refund(WorkspaceId workspace) {
    Bucket bucket = buckets.get(workspace);
    if (bucket != null) {
      bucket.tokens++;
      allowed.merge(workspace, -1, TokenLedger::sumOrNull);
    }
  }

  /**
   * Takes back a request that another ledger may have allowed. The others learn of it from {@link
   * #takeAllowed}, even if this ledger does not know the workspace.
   */
  public void refundElsewhere(WorkspaceId workspace) {
    Bucket bucket = buckets.get(workspace);
    if (bucket != null) {
      bucket.tokens++;
    }
    allowed.merge(workspace, -1, TokenLedger::sumOrNull);
  }

  /** Takes the tokens of requests that another ledger has allowed; a negative count gives back. */
  public void recordAllowedElsewhere(
      WorkspaceId workspace, WorkspaceLimit limit, int count, Instant now) {
    Bucket bucket = bucket(workspace, limit, now);
    bucket.refill(limit, share, now);
    bucket.tokens -= count;
  }

  /** Returns the net number of requests allowed since the last call, by workspace. */
  public Map<WorkspaceId, Integer> takeAllowed() {
    Map<WorkspaceId, Integer> taken = Map.copyOf(allowed);
    allowed.clear();
    return taken;
  }

  private static @Nullable Integer sumOrNull(Integer first, Integer second) {
    int sum = first + second;
    return sum == 0 ? null : sum;
  }

  private Bucket bucket(WorkspaceId workspace, WorkspaceLimit limit, Instant now) {
    Bucket known = buckets.get(workspace);
    if (known != null) {
      return known;
    }
    if (buckets.size() >= cleanSize) {
      buckets.values().removeIf(bucket -> bucket.isFull(share, now));
      cleanSize = Math.max(CLEAN_SIZE, 2 * buckets.size());
    }
    double first = FIRST_TOKENS + limit.requestsPerSecond() * seconds(FIRST_TIME);
    Bucket created = new Bucket(Math.min(first, limit.burst()), started, limit);
    buckets.put(workspace, created);
    return created;
  }

  private static double seconds(Duration time) {
    return time.toNanos() / 1e9;
  }

  /** Tokens of one workspace. */
  private static final class Bucket {

    private double tokens;
    private Instant filled;
    private WorkspaceLimit limit;
    private double rate;
    private Instant nextTurn = Instant.MIN;

    private Bucket(double tokens, Instant filled, WorkspaceLimit limit) {
      this.tokens = tokens;
      this.filled = filled;
      this.limit = limit;
    }

    /** Adds the tokens of the time since the last call, up to the burst of a possibly new limit. */
    private void refill(WorkspaceLimit newLimit, double share, Instant now) {
      limit = newLimit;
      rate = limit.requestsPerSecond() * share;
      if (now.isAfter(filled)) {
        tokens += rate * seconds(Duration.between(filled, now));
        filled = now;
      }
      tokens = Math.min(tokens, capacity(share));
    }

    private double capacity(double share) {
      // A small share of a small burst would refuse requests that happen to arrive together.
      double least = Math.min(FIRST_TOKENS, limit.burst());
      return Math.max(1, Math.max(least, limit.burst() * share));
    }

    private boolean isFull(double share, Instant now) {
      refill(limit, share, now);
      return tokens >= capacity(share);
    }

    /**
     * Returns when the next token is there that was not named to an earlier caller, so that refused
     * callers do not all return at the same moment.
     */
    private Duration retryAfter(Instant now) {
      Instant next = now.plusNanos((long) Math.min(MAX_RETRY.toNanos(), (1 - tokens) / rate * 1e9));
      Instant turn = nextTurn.isAfter(next) ? nextTurn : next;
      Instant latest = now.plus(MAX_RETRY);
      if (turn.isAfter(latest)) {
        return MAX_RETRY;
      }
      nextTurn = turn.plusNanos((long) Math.min(MAX_RETRY.toNanos(), 1e9 / rate));
      return Duration.between(now, turn);
    }
  }
}

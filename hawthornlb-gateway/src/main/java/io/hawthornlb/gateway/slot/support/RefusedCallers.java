package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers callers that were refused and told when to return.
 *
 * <p>At a load peak more requests arrive than slots become free, for seconds. Refused callers
 * return into the same peak, and many are refused a second time, which is final. So a returning
 * request may wait for as long as a late answer is still useful. New requests still go before it:
 * if returning requests were served first, each new request would be refused in their place, and
 * all requests would be late. {@link OverloadPeriod} estimates when a refused caller should return.
 */
final class RefusedCallers {

  /** Maximum number of remembered callers; bounds the memory during an overload. */
  private static final int MAX_REMEMBERED = 5_000;

  private final SlotSettings settings;
  private final Map<Long, Instant> expectedUntil = new HashMap<>();

  RefusedCallers(SlotSettings settings) {
    this.settings = settings;
  }

  /** Records that a caller was refused and told when to return. */
  void refused(long fingerprint, Duration retryAfter, Instant now) {
    boolean remember = fingerprint != 0 && !settings.returnTime().isNegative();
    if (remember && expectedUntil.size() < MAX_REMEMBERED) {
      expectedUntil.put(fingerprint, now.plus(retryAfter).plus(settings.returnTime()));
    }
  }

  /**
   * Returns whether a request was refused before and is expected to return; forgets the refusal.
   */
  boolean returned(long fingerprint, Instant now) {
    Instant until = expectedUntil.remove(fingerprint);
    return until != null && now.isBefore(until);
  }

  /** Returns the number of callers that are still expected to return. */
  int count(Instant now) {
    expectedUntil.values().removeIf(until -> !now.isBefore(until));
    return expectedUntil.size();
  }
}

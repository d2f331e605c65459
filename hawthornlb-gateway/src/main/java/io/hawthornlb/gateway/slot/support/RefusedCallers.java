package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;
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
final class RefusedCallers implements Retries {

  /** Maximum number of remembered callers; bounds the memory during an overload. */
  private static final int MAX_REMEMBERED = 5_000;

  private final SlotSettings settings;
  private final Map<Long, Instant> expectedUntil = new HashMap<>();

  RefusedCallers(SlotSettings settings) {
    this.settings = settings;
  }

  @Override
  public Duration early(SlotRequest request, Instant now) {
    return Duration.ZERO;
  }

  @Override
  public Standing arrived(SlotRequest request, Instant now) {
    Instant until = expectedUntil.remove(request.fingerprint());
    return until != null && now.isBefore(until) ? Standing.RETURNING : Standing.NEW;
  }

  @Override
  public Duration refused(
      SlotRequest request, Duration retryAfter, Duration waited, ExpectedRoom room, Instant now) {
    boolean remember = request.fingerprint() != 0 && !settings.returnTime().isNegative();
    if (remember && expectedUntil.size() < MAX_REMEMBERED) {
      Instant until = now.plus(retryAfter).plus(settings.returnTime());
      expectedUntil.put(request.fingerprint(), until);
    }
    return retryAfter;
  }

  @Override
  public int count(Instant now) {
    expectedUntil.values().removeIf(until -> !now.isBefore(until));
    return expectedUntil.size();
  }
}

package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Callers that were refused and told when to come back.
 *
 * <p>Load pattern: on a crest more requests come than slots free up, for seconds. Callers that were
 * refused come back into the same crest, and many are refused a second time, for good. So one that
 * comes back may wait as long as a late answer is of use. It stands behind newcomers all the same:
 * were it served first, each newcomer would be refused in its place and all be late. {@link
 * OverloadSpell} tells when to come back.
 */
final class RefusedCallers {

  /** Callers that are remembered at most; bounds the memory in an overload. */
  private static final int MAX_REMEMBERED = 5_000;

  private final SlotSettings settings;
  private final Map<Long, Instant> expectedUntil = new HashMap<>();

  RefusedCallers(SlotSettings settings) {
    this.settings = settings;
  }

  /** Takes that a caller was refused and told when to come back. */
  void refused(long fingerprint, Duration retryAfter, Instant now) {
    boolean remembered = fingerprint != 0 && !settings.returnTime().isNegative();
    if (remembered && expectedUntil.size() < MAX_REMEMBERED) {
      expectedUntil.put(fingerprint, now.plus(retryAfter).plus(settings.returnTime()));
    }
  }

  /** Returns whether a request was refused before, and expects it no more. */
  boolean returned(long fingerprint, Instant now) {
    Instant until = expectedUntil.remove(fingerprint);
    return until != null && now.isBefore(until);
  }

  /** Returns the number of callers that are still to come back. */
  int count(Instant now) {
    expectedUntil.values().removeIf(until -> !now.isBefore(until));
    return expectedUntil.size();
  }
}

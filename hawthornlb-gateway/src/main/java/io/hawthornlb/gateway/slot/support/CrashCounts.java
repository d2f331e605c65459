package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the endpoint failures that each request has caused, by the request's fingerprint.
 *
 * <p>Guards against a request that crashes each endpoint that runs it and that its caller sends
 * again and again: endpoints break the connection one after the other on requests with the same
 * path and body. After three such failures the coordinator grants the request no slot for a while.
 * One coordinator hands out the slots and so sees all attempts, whichever gateway receives them; it
 * informs the other instances, any of which may become the coordinator after it. A harmless request
 * is refused only if three endpoints failed while they ran it, and its caller may retry later.
 */
final class CrashCounts {

  /** Number of failures after which a request gets no slot. */
  private static final int MAX_CRASHES = 3;

  /** Time without a failure after which a request is forgotten; callers return within seconds. */
  private static final Duration RETENTION = Duration.ofSeconds(60);

  /** Maximum number of remembered requests; bounds the memory while many endpoints fail. */
  private static final int MAX_REMEMBERED = 10_000;

  private record Crashes(int count, Instant last) {}

  private final Map<Long, Crashes> crashes = new HashMap<>();

  void recordCrash(long fingerprint, Instant now) {
    if (crashes.size() >= MAX_REMEMBERED) {
      crashes.values().removeIf(each -> each.last().plus(RETENTION).isBefore(now));
    }
    if (crashes.size() < MAX_REMEMBERED || crashes.containsKey(fingerprint)) {
      crashes.merge(
          fingerprint, new Crashes(1, now), (former, next) -> new Crashes(former.count() + 1, now));
    }
  }

  /** Blocks a request because another coordinator found that it crashed too many endpoints. */
  void block(long fingerprint, Instant now) {
    crashes.put(fingerprint, new Crashes(MAX_CRASHES, now));
  }

  boolean blocked(long fingerprint, Instant now) {
    Crashes known = crashes.get(fingerprint);
    return known != null
        && known.count() >= MAX_CRASHES
        && now.isBefore(known.last().plus(RETENTION));
  }

  Duration blockTime() {
    return RETENTION;
  }
}

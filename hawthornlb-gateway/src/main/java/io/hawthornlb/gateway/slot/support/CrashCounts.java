package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Requests whose runs ended with a failure of their endpoint, by what they ask.
 *
 * <p>Failure: a request crashes each endpoint that runs it, and its caller sends it again and
 * again. It shows as endpoints that break off one after the other on requests with the same path
 * and body. Guard: after three such ends it gets no slot for a while. All attempts meet here,
 * whichever gateway takes them, since one coordinator hands out the slots; it tells the others, who
 * may come to hand them out after it. An innocent request is refused only if three endpoints failed
 * under it, and may come back.
 */
final class CrashCounts {

  /** Ends with a failure after which a request gets no slot. */
  private static final int MAX_CRASHES = 3;

  /**
   * Time without a failure after which a request is forgotten; callers come back within seconds.
   */
  private static final Duration REMEMBERED = Duration.ofSeconds(60);

  /** Requests that are remembered; bounds the memory while endpoints fail in numbers. */
  private static final int MAX_REMEMBERED = 10_000;

  private record Crashes(int count, Instant last) {}

  private final Map<Long, Crashes> crashes = new HashMap<>();

  void crashed(long fingerprint, Instant now) {
    if (crashes.size() >= MAX_REMEMBERED) {
      crashes.values().removeIf(each -> each.last().plus(REMEMBERED).isBefore(now));
    }
    if (crashes.size() < MAX_REMEMBERED || crashes.containsKey(fingerprint)) {
      crashes.merge(
          fingerprint, new Crashes(1, now), (former, next) -> new Crashes(former.count() + 1, now));
    }
  }

  /** Takes that others have seen a request crash too many endpoints. */
  void bar(long fingerprint, Instant now) {
    crashes.put(fingerprint, new Crashes(MAX_CRASHES, now));
  }

  boolean barred(long fingerprint, Instant now) {
    Crashes known = crashes.get(fingerprint);
    return known != null
        && known.count() >= MAX_CRASHES
        && now.isBefore(known.last().plus(REMEMBERED));
  }

  Duration remembered() {
    return REMEMBERED;
  }
}

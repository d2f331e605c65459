package io.hawthornlb.gateway.slot.support;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides when a refused caller should return: when capacity for its request is expected.
 *
 * <p>That is when the requests before it are served and, in the peak of a recognized load cycle,
 * when online requests will need fewer slots than there are. Without a recognized cycle the usual
 * length of an overload period takes the place of the forecast. Each refused caller is told a
 * slightly later time than the one before, because callers that return simultaneously find slots
 * for only a few of them.
 */
final class RetryTime {

  /** Shortest time told to a caller; a caller that returns earlier would find no free slot yet. */
  private static final Duration MIN_RETRY = Duration.ofMillis(100);

  private final WaitEstimate wait;
  private final ServiceEstimates estimates;

  RetryTime(WaitEstimate wait, ServiceEstimates estimates) {
    this.wait = wait;
    this.estimates = estimates;
  }

  /**
   * Returns the time after which a refused caller should return.
   *
   * @param waiting number of waiting online requests
   * @param expected number of refused callers that are expected to return
   * @param slots number of slots
   * @param overload time for which the overload is likely to last; zero if there is none
   */
  Duration of(int waiting, int expected, int slots, Duration overload, Instant now) {
    Duration queue = wait.retryAfter(waiting + expected, slots);
    if (!estimates.active()) {
      return later(queue, overload);
    }
    Duration room = overload;
    if (!overload.isZero() && estimates.demand().phase(now).isPresent()) {
      // The demand fluctuates by about its square root, as ItemHeadroom describes.
      room = estimates.demand().untilRoom(slots - Math.sqrt(slots), now);
    }
    return later(later(queue, MIN_RETRY), room.plus(wait.of(expected, slots)));
  }

  private static Duration later(Duration first, Duration second) {
    return first.compareTo(second) > 0 ? first : second;
  }
}

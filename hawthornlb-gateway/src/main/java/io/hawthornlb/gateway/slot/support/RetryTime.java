package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.demand.DemandForecast;
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

  private final DemandForecast demand;

  RetryTime(DemandForecast demand) {
    this.demand = demand;
  }

  /**
   * Returns the time after which a refused caller should return.
   *
   * @param queue time until the requests before it are served
   * @param spread time by which it returns later than the first of the refused callers
   * @param capacity slots of all endpoints, in slots of an endpoint of usual pace
   * @param overload time for which the overload is likely to last; zero if there is none
   */
  Duration of(Duration queue, Duration spread, double capacity, Duration overload, Instant now) {
    Duration room = overload;
    if (!overload.isZero() && demand.phase(now).isPresent()) {
      // The demand fluctuates by about its square root, as ItemHeadroom describes.
      room = demand.untilRoom(capacity - Math.sqrt(capacity), now);
    }
    return later(later(queue, MIN_RETRY), room.plus(spread));
  }

  /** Returns the longer of two times. */
  static Duration later(Duration first, Duration second) {
    return first.compareTo(second) > 0 ? first : second;
  }
}

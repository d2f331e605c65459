package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;

/**
 * A request that waits for a slot.
 *
 * @param request the request
 * @param standing how the request is treated if it was refused before
 * @param turn turn of the request among the workspaces; see {@link Turns}
 * @param units work of the request that its workspace is charged, in units of the usual work
 * @param late whether this is a batch item that goes behind items that can finish in time
 * @param work time for which the request is expected to use a slot; zero if no decision uses it
 * @param since when the request arrived
 * @param until when the request is refused if it still waits
 */
record Waiter(
    SlotRequest request,
    Retries.Standing standing,
    double turn,
    double units,
    boolean late,
    Duration work,
    Instant since,
    Instant until) {

  /**
   * Orders online requests before items, then items that can finish in time before others, then by
   * rank, then new requests before returning ones. Turns decide among requests that are equal here.
   */
  static final Comparator<Waiter> CLASS_ORDER = Waiter::compareClass;

  /** Orders the requests of a queue: as above, then by turn, then by time of arrival. */
  static final Comparator<Waiter> ORDER = Waiter::compareInQueue;

  // Comparators built from accessors would box each value, which took most of the time of a
  // decision with hundreds of waiting requests.
  private static int compareClass(Waiter one, Waiter other) {
    int order = Boolean.compare(one.request.batch(), other.request.batch());
    if (order == 0) {
      order = Boolean.compare(one.late, other.late);
    }
    if (order == 0) {
      order = Long.compare(one.request.rank(), other.request.rank());
    }
    return order == 0 ? Boolean.compare(one.returning(), other.returning()) : order;
  }

  private static int compareInQueue(Waiter one, Waiter other) {
    int order = compareClass(one, other);
    if (order == 0) {
      order = Double.compare(one.turn, other.turn);
    }
    if (order == 0) {
      order = one.since.compareTo(other.since);
    }
    if (order == 0) {
      order = one.request.key().holder().compareTo(other.request.key().holder());
    }
    return order == 0
        ? Long.compare(one.request.key().number(), other.request.key().number())
        : order;
  }

  /**
   * Returns whether the request goes behind new ones, with or without a reservation. Its answer is
   * late already; before a new request, it would make that one late as well.
   */
  boolean returning() {
    return standing != Retries.Standing.NEW;
  }

  /** Returns this request with another position among the batch items. */
  Waiter withLate(boolean nowLate) {
    return new Waiter(request, standing, turn, units, nowLate, work, since, until);
  }
}

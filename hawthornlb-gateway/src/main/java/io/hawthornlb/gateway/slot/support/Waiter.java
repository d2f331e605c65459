package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;

/**
 * A request that waits for a slot.
 *
 * @param request the request
 * @param returning whether the request was refused before
 * @param turn turn of the request among the workspaces; see {@link FairTurns}
 * @param late whether this is a batch item that goes behind items that can finish in time
 * @param work time for which the request is expected to use a slot; zero if no decision uses it
 * @param since when the request arrived
 * @param until when the request is refused if it still waits
 */
record Waiter(
    SlotRequest request,
    boolean returning,
    double turn,
    boolean late,
    Duration work,
    Instant since,
    Instant until) {

  /**
   * Orders online requests before items, then items that can finish in time before others, then by
   * rank, then new requests before returning ones, then by turn, then by time of arrival.
   */
  static final Comparator<Waiter> ORDER =
      Comparator.comparing((Waiter waiter) -> waiter.request().batch())
          .thenComparing(Waiter::late)
          .thenComparing(waiter -> waiter.request().rank())
          .thenComparing(Waiter::returning)
          .thenComparing(Waiter::turn)
          .thenComparing(Waiter::since)
          .thenComparing(waiter -> waiter.request().key().holder())
          .thenComparing(waiter -> waiter.request().key().number());

  /** Returns this request with another position among the batch items. */
  Waiter withLate(boolean nowLate) {
    return new Waiter(request, returning, turn, nowLate, work, since, until);
  }
}

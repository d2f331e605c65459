package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Instant;
import java.util.Comparator;

/**
 * A request that waits for a slot.
 *
 * @param request the request
 * @param returning whether it was refused before
 * @param late whether it is a batch item that goes behind those which can be in time
 * @param since when it came
 * @param until when it has waited long enough
 */
record Waiter(SlotRequest request, boolean returning, boolean late, Instant since, Instant until) {

  /**
   * Online requests before items, items that can be in time before others, then by rank, newcomers
   * first, then by how long they wait.
   */
  static final Comparator<Waiter> ORDER =
      Comparator.comparing((Waiter waiter) -> waiter.request().batch())
          .thenComparing(Waiter::late)
          .thenComparing(waiter -> waiter.request().rank())
          .thenComparing(Waiter::returning)
          .thenComparing(Waiter::since)
          .thenComparing(waiter -> waiter.request().key().holder())
          .thenComparing(waiter -> waiter.request().key().number());

  /** Returns the request with another place among the batch items. */
  Waiter withLate(boolean nowLate) {
    return new Waiter(request, returning, nowLate, since, until);
  }
}

package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Instant;
import java.util.Comparator;

/**
 * A request that waits for a slot.
 *
 * @param request the request
 * @param returning whether it was refused before
 * @param since when it came
 * @param until when it has waited long enough
 */
record Waiter(SlotRequest request, boolean returning, Instant since, Instant until) {

  /** Online requests before items, then by rank, newcomers first, then by how long they wait. */
  static final Comparator<Waiter> ORDER =
      Comparator.comparing((Waiter waiter) -> waiter.request().batch())
          .thenComparing(waiter -> waiter.request().rank())
          .thenComparing(Waiter::returning)
          .thenComparing(Waiter::since)
          .thenComparing(waiter -> waiter.request().key().holder())
          .thenComparing(waiter -> waiter.request().key().number());
}

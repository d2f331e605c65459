package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Instant;
import java.util.Comparator;

/**
 * A request that waits for a slot.
 *
 * @param request the request
 * @param since moment from which its place in the queue counts; before it came if it had been
 *     refused
 * @param until when it has waited long enough
 */
record Waiter(SlotRequest request, Instant since, Instant until) {

  /** Online requests before items, then by rank, then by how long they wait. */
  static final Comparator<Waiter> ORDER =
      Comparator.comparing((Waiter waiter) -> waiter.request().batch())
          .thenComparing(waiter -> waiter.request().rank())
          .thenComparing(Waiter::since)
          .thenComparing(waiter -> waiter.request().key().holder())
          .thenComparing(waiter -> waiter.request().key().number());
}

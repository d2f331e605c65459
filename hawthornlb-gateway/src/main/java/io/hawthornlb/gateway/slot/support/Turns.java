package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;

/**
 * Gives waiting online requests their turns.
 *
 * <p>Requests wait in queues. Within a queue the request with the lowest turn goes first; among
 * queues, that with the lowest turn of the queue.
 */
interface Turns {

  /** Returns the queue in which a request waits. */
  String queue(SlotRequest request);

  /** Returns the turn of the first request of a queue, compared with other queues. */
  double queueTurn(String queue);

  /** Returns the turn within its queue that the next request of a workspace gets. */
  double next(SlotRequest request);

  /** Records that a request waits with a turn that {@link #next} has returned. */
  void taken(Waiter waiter);

  /** Records that a waiting request gets a slot. */
  void served(Waiter waiter);

  /** Forgets all turns, because no request waits. */
  void clear();
}

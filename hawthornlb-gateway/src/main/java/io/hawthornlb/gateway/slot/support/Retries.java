package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.time.Instant;

/** Remembers refused requests, and decides how a retried one is treated. */
interface Retries {

  /** How a request that arrives is treated. */
  enum Standing {
    /** It was not refused before, or its refusal is forgotten. */
    NEW,
    /** It was refused before; it goes behind new requests, and may wait longer. */
    RETURNING,
    /** It was refused before and has a reservation; it is ordered like a returning one. */
    RESERVED
  }

  /** Returns the time that is left until a refused request was told to return; zero if none. */
  Duration early(SlotRequest request, Instant now);

  /** Returns how an arriving request is treated, and forgets its refusal. */
  Standing arrived(SlotRequest request, Instant now);

  /**
   * Records that a request is refused; returns the time after which its caller should return.
   *
   * @param retryAfter time after which capacity for it is expected
   * @param waited time for which it has waited
   * @param room returns the slots that are expected to be free after a time
   */
  Duration refused(
      SlotRequest request, Duration retryAfter, Duration waited, ExpectedRoom room, Instant now);

  /** Returns the number of callers that are still expected to return. */
  int count(Instant now);
}

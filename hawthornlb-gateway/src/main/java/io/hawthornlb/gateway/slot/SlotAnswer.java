package io.hawthornlb.gateway.slot;

import java.time.Duration;

/** What a coordinator tells about a request for a slot. */
public sealed interface SlotAnswer {

  /** Returns the request that it is about. */
  SlotKey key();

  /**
   * The request may use a slot now.
   *
   * @param endpoint id of the endpoint
   */
  record Granted(SlotKey key, String endpoint) implements SlotAnswer {}

  /**
   * The request waits; another answer follows.
   *
   * @param atMost time after which it is refused at the latest
   */
  record Waiting(SlotKey key, Duration atMost) implements SlotAnswer {}

  /**
   * The request gets no slot in time.
   *
   * @param retryAfter when a slot is likely free
   */
  record Refused(SlotKey key, Duration retryAfter) implements SlotAnswer {}

  /** The slot of a batch item is needed by an online request; the item must end now. */
  record Revoked(SlotKey key) implements SlotAnswer {}
}

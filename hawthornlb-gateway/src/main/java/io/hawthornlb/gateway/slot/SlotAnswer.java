package io.hawthornlb.gateway.slot;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import java.time.Duration;

/** What a coordinator tells about a request for a slot. */
public sealed interface SlotAnswer {

  /** Returns the request that it is about. */
  SlotKey key();

  /**
   * The request may use a slot now.
   *
   * @param life endpoint, and which of its lives the slot is one of
   */
  record Granted(SlotKey key, EndpointIncarnation life) implements SlotAnswer {

    /** Creates a grant at an endpoint that did not say when it started. */
    public Granted(SlotKey key, String endpoint) {
      this(key, EndpointIncarnation.ofUnknownStart(endpoint));
    }

    /** Returns the id of the endpoint. */
    public String endpoint() {
      return life.id();
    }
  }

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
   * @param seen what decided it
   */
  record Refused(SlotKey key, Duration retryAfter, Load seen) implements SlotAnswer {}

  /**
   * Load of a service when a request was refused, for those who look for the cause later.
   *
   * @param slots slots of the endpoints that take requests
   * @param used slots handed out to requests and items
   * @param waiting online requests that wait
   */
  record Load(int slots, int used, int waiting) {

    /** Says that the refusal was not due to load. */
    public static final Load UNKNOWN = new Load(-1, -1, -1);
  }

  /** The slot of a batch item is needed by an online request; the item must end now. */
  record Revoked(SlotKey key) implements SlotAnswer {}
}

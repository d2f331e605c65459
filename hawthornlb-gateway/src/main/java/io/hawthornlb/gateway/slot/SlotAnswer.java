package io.hawthornlb.gateway.slot;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import java.time.Duration;

/** Answer of a coordinator to a request for a slot. */
public sealed interface SlotAnswer {

  /** Returns the key of the answered request. */
  SlotKey key();

  /**
   * The request may use a slot now.
   *
   * @param incarnation endpoint and incarnation that the slot belongs to
   */
  record Granted(SlotKey key, EndpointIncarnation incarnation) implements SlotAnswer {

    /** Creates a grant for an endpoint that has not reported when it started. */
    public Granted(SlotKey key, String endpoint) {
      this(key, EndpointIncarnation.ofUnknownStart(endpoint));
    }

    /** Returns the id of the endpoint. */
    public String endpoint() {
      return incarnation.id();
    }
  }

  /**
   * The request waits; a later answer grants or refuses it.
   *
   * @param atMost time after which the coordinator refuses the request at the latest
   */
  record Waiting(SlotKey key, Duration atMost) implements SlotAnswer {}

  /**
   * The request gets no slot in time.
   *
   * @param retryAfter time after which a slot is likely to be free
   * @param seen load on which the coordinator based the refusal
   * @param reason why the request was refused; stated only where the service is contended
   */
  record Refused(SlotKey key, Duration retryAfter, Load seen, RefusalReason reason)
      implements SlotAnswer {

    /** Creates a refusal that does not state its reason. */
    public Refused(SlotKey key, Duration retryAfter, Load seen) {
      this(key, retryAfter, seen, RefusalReason.UNKNOWN);
    }
  }

  /**
   * The request exceeds the limit of its workspace.
   *
   * @param retryAfter time after which the limit is likely to allow the request
   */
  record OverLimit(SlotKey key, Duration retryAfter) implements SlotAnswer {}

  /**
   * Load of a service at the moment of a refusal, reported so that operators can find the cause.
   *
   * @param slots number of slots of the endpoints that accept requests
   * @param used number of slots granted to requests and batch items
   * @param waiting number of waiting online requests
   */
  record Load(int slots, int used, int waiting) {

    /** The load is unknown, because the refusal was not due to load. */
    public static final Load UNKNOWN = new Load(-1, -1, -1);
  }

  /** An online request needs the slot of a batch item; the item must end now. */
  record Revoked(SlotKey key) implements SlotAnswer {}
}

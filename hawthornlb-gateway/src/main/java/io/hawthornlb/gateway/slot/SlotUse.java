package io.hawthornlb.gateway.slot;

import io.hawthornlb.gateway.endpoint.EndpointLife;

/**
 * A slot in use, as its holder tells it.
 *
 * @param number number of the request at its holder
 * @param life endpoint, and which of its lives the slot is one of
 * @param batch whether a batch item runs there
 * @param rank order of the request; see {@link SlotRequest#rank()}
 */
public record SlotUse(long number, EndpointLife life, boolean batch, long rank) {

  /** Creates a use at an endpoint that did not say when it started. */
  public SlotUse(long number, String endpoint, boolean batch, long rank) {
    this(number, EndpointLife.ofUnknownStart(endpoint), batch, rank);
  }

  /** Returns the id of the endpoint. */
  public String endpoint() {
    return life.id();
  }
}

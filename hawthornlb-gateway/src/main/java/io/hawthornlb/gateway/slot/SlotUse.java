package io.hawthornlb.gateway.slot;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import java.time.Duration;

/**
 * A slot in use, as its holder tells it.
 *
 * @param number number of the request at its holder
 * @param life endpoint, and which of its lives the slot is one of
 * @param batch whether a batch item runs there
 * @param rank order of the request; see {@link SlotRequest#rank()}
 * @param work time for which it still has to run; see {@link SlotRequest#work()}
 */
public record SlotUse(
    long number, EndpointIncarnation life, boolean batch, long rank, Duration work) {

  /** Creates a use at an endpoint that did not say when it started. */
  public SlotUse(long number, String endpoint, boolean batch, long rank) {
    this(number, EndpointIncarnation.ofUnknownStart(endpoint), batch, rank, Duration.ZERO);
  }

  /** Returns the id of the endpoint. */
  public String endpoint() {
    return life.id();
  }
}

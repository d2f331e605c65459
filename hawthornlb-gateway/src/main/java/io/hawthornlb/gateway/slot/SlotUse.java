package io.hawthornlb.gateway.slot;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import java.time.Duration;

/**
 * A slot in use, as reported by its holder.
 *
 * @param number number of the request at its holder
 * @param incarnation endpoint and incarnation that the slot belongs to
 * @param batch whether the slot is used by a batch item
 * @param rank rank of the request; see {@link SlotRequest#rank()}
 * @param work time for which the request still has to run; see {@link SlotRequest#work()}
 */
public record SlotUse(
    long number, EndpointIncarnation incarnation, boolean batch, long rank, Duration work) {

  /** Creates a use of a slot at an endpoint that has not reported when it started. */
  public SlotUse(long number, String endpoint, boolean batch, long rank) {
    this(number, EndpointIncarnation.ofUnknownStart(endpoint), batch, rank, Duration.ZERO);
  }

  /** Returns the id of the endpoint. */
  public String endpoint() {
    return incarnation.id();
  }
}

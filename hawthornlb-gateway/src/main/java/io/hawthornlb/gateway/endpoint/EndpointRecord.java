package io.hawthornlb.gateway.endpoint;

import io.hawthornlb.core.util.Checks;
import java.net.InetSocketAddress;

/**
 * An endpoint as it registered itself.
 *
 * @param id id of the endpoint, which it keeps when it starts again
 * @param service service that it belongs to
 * @param address where it takes requests
 * @param dataCentre data centre that it stands in
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new requests
 * @param born Unix millisecond of its start; {@link EndpointLife#UNKNOWN} if it does not say
 */
public record EndpointRecord(
    String id,
    String service,
    InetSocketAddress address,
    String dataCentre,
    int slots,
    boolean leaving,
    long born) {

  /** Checks the arguments. */
  public EndpointRecord {
    Checks.hasText(id, "id");
    Checks.hasText(service, "service");
    Checks.isTrue(slots > 0, "slots must be positive");
  }

  /** Creates the entry of an endpoint that does not say when it started. */
  public EndpointRecord(
      String id,
      String service,
      InetSocketAddress address,
      String dataCentre,
      int slots,
      boolean leaving) {
    this(id, service, address, dataCentre, slots, leaving, EndpointLife.UNKNOWN);
  }

  /** Returns which life of the endpoint wrote the entry. */
  public EndpointLife life() {
    return new EndpointLife(id, born);
  }

  // Written out: the generated ones are linked at run time, in some milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof EndpointRecord entry
        && id.equals(entry.id)
        && service.equals(entry.service)
        && address.equals(entry.address)
        && dataCentre.equals(entry.dataCentre)
        && slots == entry.slots
        && leaving == entry.leaving
        && born == entry.born;
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(born);
  }
}

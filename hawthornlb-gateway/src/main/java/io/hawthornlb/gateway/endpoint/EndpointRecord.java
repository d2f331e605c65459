package io.hawthornlb.gateway.endpoint;

import io.hawthornlb.core.util.Checks;
import java.net.InetSocketAddress;

/**
 * An endpoint as it registered itself.
 *
 * @param id id of this start of the endpoint
 * @param service service that it belongs to
 * @param address where it takes requests
 * @param dataCentre data centre that it stands in
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new requests
 */
public record EndpointRecord(
    String id,
    String service,
    InetSocketAddress address,
    String dataCentre,
    int slots,
    boolean leaving) {

  /** Checks the arguments. */
  public EndpointRecord {
    Checks.hasText(id, "id");
    Checks.hasText(service, "service");
    Checks.isTrue(slots > 0, "slots must be positive");
  }
}

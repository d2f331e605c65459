package io.hawthornlb.gateway.endpoint;

import io.hawthornlb.core.util.Checks;
import java.net.InetSocketAddress;

/**
 * An endpoint as registered by itself.
 *
 * @param id id of the endpoint, stable across restarts
 * @param service service that the endpoint belongs to
 * @param address address at which the endpoint accepts requests
 * @param dataCentre data centre of the endpoint
 * @param slots number of requests that the endpoint runs concurrently
 * @param leaving whether the endpoint accepts no new requests
 * @param born Unix time of its start in milliseconds; {@link EndpointIncarnation#UNKNOWN} if not
 *     reported
 * @param version version of its software; endpoints of several versions may serve side by side, and
 *     what two versions write does not fit together
 */
public record EndpointRecord(
    String id,
    String service,
    InetSocketAddress address,
    String dataCentre,
    int slots,
    boolean leaving,
    long born,
    String version) {

  /** Version of the endpoints of a service that has just one. */
  public static final String ONLY_VERSION = "";

  /** Checks the arguments. */
  public EndpointRecord {
    Checks.hasText(id, "id");
    Checks.hasText(service, "service");
    Checks.isTrue(slots > 0, "slots must be positive");
  }

  /** Creates the entry of an endpoint of a service that has just one version. */
  public EndpointRecord(
      String id,
      String service,
      InetSocketAddress address,
      String dataCentre,
      int slots,
      boolean leaving,
      long born) {
    this(id, service, address, dataCentre, slots, leaving, born, ONLY_VERSION);
  }

  /** Creates the entry of an endpoint that does not report its start. */
  public EndpointRecord(
      String id,
      String service,
      InetSocketAddress address,
      String dataCentre,
      int slots,
      boolean leaving) {
    this(id, service, address, dataCentre, slots, leaving, EndpointIncarnation.UNKNOWN);
  }

  /** Returns the incarnation of the endpoint that wrote the entry. */
  public EndpointIncarnation incarnation() {
    return new EndpointIncarnation(id, born);
  }

  // Written explicitly because the generated methods of a record are linked at run time, which
  // takes some milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof EndpointRecord entry
        && id.equals(entry.id)
        && service.equals(entry.service)
        && address.equals(entry.address)
        && dataCentre.equals(entry.dataCentre)
        && slots == entry.slots
        && leaving == entry.leaving
        && born == entry.born
        && version.equals(entry.version);
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(born);
  }
}

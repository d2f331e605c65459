package io.hawthornlb.core.membership;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.Checks;
import java.util.Optional;

/**
 * Element of the instance list of the platform, which lags behind the actual state.
 *
 * @param id the instance id or endpoint id
 * @param kind the kind of the process
 * @param service the service of an endpoint; empty for an entry instance
 * @param dataCentre the data centre in which the process runs
 * @param address host and port; for an entry instance, its address for peers
 * @param state whether the process is in service
 */
public record ListedProcess(
    String id,
    ListedKind kind,
    Optional<ServiceName> service,
    DataCentre dataCentre,
    String address,
    ListedState state) {

  /** Checks that id and address are not blank. */
  public ListedProcess {
    Checks.hasText(id, "id");
    Checks.hasText(address, "address");
  }
}

package io.hawthornlb.core.membership;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.util.Checks;
import java.util.Optional;

/**
 * One element of the platform's list, which lags behind the truth.
 *
 * @param id the instance id or endpoint id
 * @param kind what the process is
 * @param service the service of an endpoint; empty for entries
 * @param dataCentre where it runs
 * @param address host and port; of an entry its peer address
 * @param state live or leaving
 */
public record ListedProcess(
    String id,
    ListedKind kind,
    Optional<ServiceName> service,
    DataCentre dataCentre,
    String address,
    ListedState state) {

  /** Checks id and address. */
  public ListedProcess {
    Checks.hasText(id, "id");
    Checks.hasText(address, "address");
  }
}

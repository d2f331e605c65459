package io.hawthornlb.core.endpoint;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Decides which endpoints are in service, based on a delayed list of processes, load reports and
 * observations.
 *
 * <p>Implementations are confined to one thread.
 */
public interface EndpointTable {

  /**
   * Updates the table with the platform's complete list of processes; processes that are not
   * endpoints are ignored.
   */
  void onList(List<ListedProcess> listed, Instant asOf, Instant now);

  /** Updates the load of an endpoint; a report older than the latest one is dropped. */
  void onLoad(EndpointId id, LoadReport report, Instant now);

  /** Handles an observation of this instance and returns the notices to send to its peers. */
  List<Effect> onObservation(EndpointId id, Observation observation, Instant now);

  /** Handles an observation of a peer. */
  void onNotice(EndpointNotice notice, Instant now);

  /** Reserves an endpoint for one suspect request, until a given time at the latest. */
  void quarantine(EndpointId id, Instant until);

  /** Ends the quarantine of an endpoint. */
  void release(EndpointId id);

  /** Returns a known endpoint, whatever its state. */
  Optional<Endpoint> find(EndpointId id);

  /**
   * Returns the endpoints of a service that are not gone, as a random-access list in a stable
   * order.
   */
  List<Endpoint> of(ServiceName service);

  /** Returns the endpoints of a service in one data centre that are not gone. */
  List<Endpoint> of(ServiceName service, DataCentre dataCentre);

  /** Returns the endpoints that are due for a probe; this call counts each of them as probed. */
  List<Endpoint> probesDue(Instant now);
}

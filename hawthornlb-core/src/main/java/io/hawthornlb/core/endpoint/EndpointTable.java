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
 * Decides which endpoints are in service, from a list that lags, load reports and observations.
 *
 * <p>Confined to one thread.
 */
public interface EndpointTable {

  /** Takes the platform's whole list; elements that are no endpoints are passed over. */
  void onList(List<ListedProcess> listed, Instant asOf, Instant now);

  /** Takes a load report; one older than the latest is dropped. */
  void onLoad(EndpointId id, LoadReport report, Instant now);

  /** Takes an observation of this instance and returns what peers must hear. */
  List<Effect> onObservation(EndpointId id, Observation observation, Instant now);

  /** Takes an observation of a peer. */
  void onNotice(EndpointNotice notice, Instant now);

  /** Keeps an endpoint for one suspect request until a time, at the latest. */
  void quarantine(EndpointId id, Instant until);

  /** Ends the quarantine of an endpoint. */
  void release(EndpointId id);

  /** Returns an endpoint that is known, whatever its state. */
  Optional<Endpoint> find(EndpointId id);

  /** Returns the endpoints of a service that are not gone; random access, stable order. */
  List<Endpoint> of(ServiceName service);

  /** Returns the endpoints of a service in one data centre that are not gone. */
  List<Endpoint> of(ServiceName service, DataCentre dataCentre);

  /** Returns the endpoints that need a probe now, each counted as probed by this call. */
  List<Endpoint> probesDue(Instant now);
}

package io.hawthornlb.core.endpoint;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;
import java.util.Optional;

/** A read-only, live view of one endpoint. It is confined to the thread of its table. */
public interface Endpoint {

  /** Returns the id of the endpoint. */
  EndpointId id();

  /** Returns the service that the endpoint serves. */
  ServiceName service();

  /** Returns the data centre that the endpoint runs in. */
  DataCentre dataCentre();

  /** Returns the host and port of the endpoint. */
  String address();

  /** Returns the state of the endpoint at a time. */
  EndpointState state(Instant now);

  /** Returns the latest load report, or empty if none has arrived. */
  Optional<LoadReport> load();

  /**
   * Returns the share of a full endpoint's work that this endpoint gets during its slow start:
   * above 0, and 1 after the slow start.
   */
  double startWeight(Instant now);

  /** Returns the number of recent failures; each failure counts half after each half-life. */
  double recentFailures(Instant now);

  /**
   * Returns whether the endpoint is reserved for one suspect request, so that no other request may
   * go there.
   */
  boolean quarantined(Instant now);

  /** Returns whether a new request may be sent to the endpoint. */
  default boolean accepts(Instant now) {
    return state(now) == EndpointState.LIVE && !quarantined(now);
  }
}

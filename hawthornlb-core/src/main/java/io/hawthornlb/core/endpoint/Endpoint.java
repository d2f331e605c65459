package io.hawthornlb.core.endpoint;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;
import java.util.Optional;

/** A read-only, live view of one endpoint; confined to the thread of its table. */
public interface Endpoint {

  /** Returns its id. */
  EndpointId id();

  /** Returns the service that it serves. */
  ServiceName service();

  /** Returns where it runs. */
  DataCentre dataCentre();

  /** Returns host and port. */
  String address();

  /** Returns its state at a time. */
  EndpointState state(Instant now);

  /** Returns the latest load report, if one has come. */
  Optional<LoadReport> load();

  /** Returns its share of a full endpoint's work, above 0 and up to 1, while it starts slowly. */
  double startWeight(Instant now);

  /** Returns recent failures, halved with each half-life since. */
  double recentFailures(Instant now);

  /** Returns whether it is kept for one suspect request, so that no other may go there. */
  boolean quarantined(Instant now);

  /** Returns whether a new request may be sent to it. */
  default boolean accepts(Instant now) {
    return state(now) == EndpointState.LIVE && !quarantined(now);
  }
}

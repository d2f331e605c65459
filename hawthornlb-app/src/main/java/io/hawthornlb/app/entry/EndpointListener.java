package io.hawthornlb.app.entry;

import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.routing.PrefixEvent;
import java.util.List;

/** Receives the reports and probe results of endpoints. Called on the decision loop. */
public interface EndpointListener {

  /** Called with a load report of an endpoint. */
  void onLoadReport(EndpointId endpoint, LoadReport report);

  /** Called with new prefix cache events of an endpoint. */
  void onCacheEvents(EndpointId endpoint, List<PrefixEvent> events);

  /** Called with the result of a health probe. */
  void onObservation(EndpointId endpoint, Observation observation);
}

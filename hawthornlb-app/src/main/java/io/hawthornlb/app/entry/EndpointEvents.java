package io.hawthornlb.app.entry;

import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.routing.PrefixEvent;
import java.util.List;

/** Takes what the monitor reads from endpoints; called on the decision loop. */
public interface EndpointEvents {

  /** Takes a load report. */
  void loaded(EndpointId endpoint, LoadReport report);

  /** Takes cache events. */
  void cached(EndpointId endpoint, List<PrefixEvent> events);

  /** Takes what a probe showed. */
  void observed(EndpointId endpoint, Observation observation);
}

package io.hawthornlb.app.entry;

import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.routing.PrefixEvent;
import java.time.InstantSource;
import java.util.List;

/** Feeds what the monitor reads into the policies. */
final class MonitorEvents implements EndpointEvents {

  private final OnlinePolicies policies;
  private final InstantSource clock;

  MonitorEvents(OnlinePolicies policies, InstantSource clock) {
    this.policies = policies;
    this.clock = clock;
  }

  @Override
  public void loaded(EndpointId endpoint, LoadReport report) {
    policies.endpoints().onLoad(endpoint, report, clock.instant());
  }

  @Override
  public void cached(EndpointId endpoint, List<PrefixEvent> events) {
    policies.prefixes().onEvents(endpoint, events, clock.instant());
  }

  @Override
  public void observed(EndpointId endpoint, Observation observation) {
    policies.endpoints().onObservation(endpoint, observation, clock.instant());
  }
}

package io.hawthornlb.app.entry;

import io.hawthornlb.core.admission.support.FifoAdmissionController;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.endpoint.support.ListedEndpointTable;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.retry.support.SimpleRetryPolicy;
import io.hawthornlb.core.routing.support.RoundRobinRouter;
import io.hawthornlb.core.suspect.support.TrustingSuspectTable;
import java.time.InstantSource;

/** Chooses the implementations of the policies. */
final class PolicyFactory {

  private static final int ATTEMPTS = 3;
  private static final int REQUESTS = 1_024;

  private PolicyFactory() {}

  /** Returns the policies of an instance. */
  static OnlinePolicies create(DataCentre dataCentre, InstantSource clock) {
    EndpointTable endpoints = new ListedEndpointTable();
    return new OnlinePolicies(
        endpoints,
        new RoundRobinRouter(endpoints),
        new FifoAdmissionController(REQUESTS),
        new SimpleRetryPolicy(ATTEMPTS),
        new TrustingSuspectTable(),
        new NoInFlight(),
        new NoPrefixes());
  }
}

package io.hawthornlb.app.entry;

import io.hawthornlb.core.admission.AdmissionSettings;
import io.hawthornlb.core.admission.ShareExchange;
import io.hawthornlb.core.admission.support.DemandShareExchange;
import io.hawthornlb.core.admission.support.FairAdmissionController;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.endpoint.EndpointTableSettings;
import io.hawthornlb.core.endpoint.support.ObservedEndpointTable;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.retry.RetrySettings;
import io.hawthornlb.core.retry.support.BudgetedRetryPolicy;
import io.hawthornlb.core.routing.PrefixIndex;
import io.hawthornlb.core.routing.RouterSettings;
import io.hawthornlb.core.routing.support.CostRouter;
import io.hawthornlb.core.routing.support.DefaultInFlightTracker;
import io.hawthornlb.core.routing.support.EndpointCost;
import io.hawthornlb.core.routing.support.HintPrefixIndex;
import io.hawthornlb.core.suspect.SuspectSettings;
import io.hawthornlb.core.suspect.support.CountingSuspectTable;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** Creates the policies with their default implementations and settings. */
final class PolicyFactory {

  private static final int MAX_PREFIXES = 20_000;

  private PolicyFactory() {}

  /** Returns the policies of an instance. */
  static OnlinePolicies create(InstanceId self, DataCentre dataCentre) {
    RandomGenerator random = new SplittableRandom();
    EndpointTable endpoints = new ObservedEndpointTable(EndpointTableSettings.DEFAULT);
    NotifyingInFlightTracker inFlight =
        new NotifyingInFlightTracker(new DefaultInFlightTracker(self));
    PrefixIndex prefixes = new HintPrefixIndex(MAX_PREFIXES);
    RouterSettings routing = RouterSettings.builder().build();
    EndpointCost cost = new EndpointCost(inFlight, prefixes, routing);
    ShareExchange shares = new DemandShareExchange(self, dataCentre);
    return new OnlinePolicies(
        endpoints,
        new CostRouter(endpoints, prefixes, cost, routing, random),
        new FairAdmissionController(shares, AdmissionSettings.DEFAULT),
        shares,
        new BudgetedRetryPolicy(RetrySettings.DEFAULT, random),
        new CountingSuspectTable(self, SuspectSettings.DEFAULT),
        inFlight,
        prefixes);
  }
}

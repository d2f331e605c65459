package io.hawthornlb.core.policy;

import io.hawthornlb.core.admission.AdmissionController;
import io.hawthornlb.core.admission.AdmissionSettings;
import io.hawthornlb.core.admission.ShareExchange;
import io.hawthornlb.core.admission.support.DemandShareExchange;
import io.hawthornlb.core.admission.support.EvenShareExchange;
import io.hawthornlb.core.admission.support.FairAdmissionController;
import io.hawthornlb.core.admission.support.FifoAdmissionController;
import io.hawthornlb.core.batch.BatchDispatcher;
import io.hawthornlb.core.batch.DispatcherSettings;
import io.hawthornlb.core.batch.support.EagerDispatcher;
import io.hawthornlb.core.batch.support.HeadroomDispatcher;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.endpoint.EndpointTableSettings;
import io.hawthornlb.core.endpoint.support.ListedEndpointTable;
import io.hawthornlb.core.endpoint.support.ObservedEndpointTable;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.retry.RetryPolicy;
import io.hawthornlb.core.retry.RetrySettings;
import io.hawthornlb.core.retry.support.BudgetedRetryPolicy;
import io.hawthornlb.core.retry.support.SimpleRetryPolicy;
import io.hawthornlb.core.routing.InFlightTracker;
import io.hawthornlb.core.routing.PrefixIndex;
import io.hawthornlb.core.routing.Router;
import io.hawthornlb.core.routing.support.CostRouter;
import io.hawthornlb.core.routing.support.DefaultInFlightTracker;
import io.hawthornlb.core.routing.support.EndpointCost;
import io.hawthornlb.core.routing.support.HintPrefixIndex;
import io.hawthornlb.core.routing.support.RoundRobinRouter;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** The policies of one simulated entry instance, assembled for a run. */
final class SimEntry {

  private static final int BASELINE_LIMIT = 1_000;
  private static final int BASELINE_ATTEMPTS = 3;

  final InstanceId id;
  final DataCentre dataCentre;
  final EndpointTable table;
  final InFlightTracker inFlight;
  final PrefixIndex prefixes = new HintPrefixIndex(20_000);
  final Router router;
  final ShareExchange shares;
  final AdmissionController admission;
  final RetryPolicy retries;
  final Map<EndpointId, BatchDispatcher> dispatchers = new HashMap<>();
  final Map<RequestId, Runnable> queued = new HashMap<>();
  private final PolicySet policy;

  SimEntry(InstanceId id, DataCentre dataCentre, PolicySet policy, long seed) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.policy = policy;
    this.inFlight = new DefaultInFlightTracker(id);
    Random random = new Random(seed);
    if (policy.baseline()) {
      this.table = new ListedEndpointTable();
      this.router = new RoundRobinRouter(table);
      this.shares = new EvenShareExchange(id, dataCentre);
      this.admission = new FifoAdmissionController(BASELINE_LIMIT);
      this.retries = new SimpleRetryPolicy(BASELINE_ATTEMPTS);
    } else {
      this.table = new ObservedEndpointTable(EndpointTableSettings.DEFAULT);
      EndpointCost cost = new EndpointCost(inFlight, prefixes, policy.router());
      this.router = new CostRouter(table, prefixes, cost, policy.router(), random);
      this.shares = new DemandShareExchange(id, dataCentre);
      this.admission = new FairAdmissionController(shares, AdmissionSettings.DEFAULT);
      this.retries = new BudgetedRetryPolicy(RetrySettings.DEFAULT, random);
    }
  }

  void addDispatcher(FakeEngine engine, double batchWeight) {
    int slots = engine.model.slots();
    DispatcherSettings settings =
        DispatcherSettings.of(policy.batchWeight().orElse(batchWeight), slots);
    dispatchers.put(
        engine.id,
        policy.baseline()
            ? new EagerDispatcher(engine.id, engine.service, slots)
            : new HeadroomDispatcher(engine.id, engine.service, settings));
  }
}

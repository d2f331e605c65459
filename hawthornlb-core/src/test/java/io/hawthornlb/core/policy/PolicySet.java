package io.hawthornlb.core.policy;

import io.hawthornlb.core.routing.RouterSettings;
import io.hawthornlb.core.routing.RouterTerm;
import java.util.OptionalDouble;

/**
 * The implementations that a simulation uses.
 *
 * @param name name of the set in reports
 * @param baseline whether routing, admission, retries and batch work use the baseline
 *     implementations
 * @param batch whether there is batch work
 * @param router settings of the cost router
 * @param batchWeight weight of batch throughput; empty to use the fleet's weight
 */
record PolicySet(
    String name,
    boolean baseline,
    boolean batch,
    RouterSettings router,
    OptionalDouble batchWeight) {

  static PolicySet standard(boolean batch) {
    String name = batch ? "policy" : "policy, no batch";
    return new PolicySet(
        name, false, batch, RouterSettings.builder().build(), OptionalDouble.empty());
  }

  static PolicySet baseline(boolean batch) {
    String name = batch ? "naive" : "naive, no batch";
    return new PolicySet(
        name, true, batch, RouterSettings.builder().build(), OptionalDouble.empty());
  }

  static PolicySet without(RouterTerm term) {
    RouterSettings settings = RouterSettings.builder().without(term).build();
    return new PolicySet("without " + term, false, true, settings, OptionalDouble.empty());
  }

  PolicySet withWeight(double weight) {
    return new PolicySet("weight " + weight, baseline, batch, router, OptionalDouble.of(weight));
  }
}

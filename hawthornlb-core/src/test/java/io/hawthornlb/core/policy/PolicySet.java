package io.hawthornlb.core.policy;

import io.hawthornlb.core.routing.RouterSettings;
import io.hawthornlb.core.routing.RouterTerm;
import java.util.OptionalDouble;

/**
 * Which implementations a run uses.
 *
 * @param name its name in reports
 * @param naive whether routing, admission, retries and batch are the naive ones
 * @param batch whether there is batch work
 * @param router settings of the cost router
 * @param batchWeight weight of batch throughput instead of the fleet's
 */
record PolicySet(
    String name, boolean naive, boolean batch, RouterSettings router, OptionalDouble batchWeight) {

  static PolicySet guarded(boolean batch) {
    String name = batch ? "policy" : "policy, no batch";
    return new PolicySet(
        name, false, batch, RouterSettings.builder().build(), OptionalDouble.empty());
  }

  static PolicySet naive(boolean batch) {
    String name = batch ? "naive" : "naive, no batch";
    return new PolicySet(
        name, true, batch, RouterSettings.builder().build(), OptionalDouble.empty());
  }

  static PolicySet without(RouterTerm term) {
    RouterSettings settings = RouterSettings.builder().without(term).build();
    return new PolicySet("without " + term, false, true, settings, OptionalDouble.empty());
  }

  PolicySet withWeight(double weight) {
    return new PolicySet("weight " + weight, naive, batch, router, OptionalDouble.of(weight));
  }
}

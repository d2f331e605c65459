package io.hawthornlb.core.policy;

import io.hawthornlb.core.batch.StewardSettings;
import io.hawthornlb.core.routing.RouterSettings;
import io.hawthornlb.core.routing.RouterTerm;
import java.util.function.UnaryOperator;

/**
 * Which implementations a run uses.
 *
 * @param name its name in reports
 * @param naive whether routing, admission, retries and batch are the naive ones
 * @param batch whether there is batch work
 * @param router settings of the cost router
 * @param steward changes the settings of stewards
 */
record PolicySet(
    String name,
    boolean naive,
    boolean batch,
    RouterSettings router,
    UnaryOperator<StewardSettings> steward) {

  static PolicySet guarded(boolean batch) {
    String name = batch ? "policy" : "policy, no batch";
    return new PolicySet(
        name, false, batch, RouterSettings.builder().build(), UnaryOperator.identity());
  }

  static PolicySet naive(boolean batch) {
    String name = batch ? "naive" : "naive, no batch";
    return new PolicySet(
        name, true, batch, RouterSettings.builder().build(), UnaryOperator.identity());
  }

  static PolicySet without(RouterTerm term) {
    RouterSettings settings = RouterSettings.builder().without(term).build();
    return new PolicySet("without " + term, false, true, settings, UnaryOperator.identity());
  }

  PolicySet withSteward(String label, UnaryOperator<StewardSettings> change) {
    return new PolicySet(label, naive, batch, router, change);
  }
}

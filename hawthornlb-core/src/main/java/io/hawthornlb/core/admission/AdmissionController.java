package io.hawthornlb.core.admission;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;
import java.util.List;

/**
 * Admits requests within limits, in a fair order; confined to one thread.
 *
 * <p>Each offered request ends in exactly one of: admitted and finished, or refused.
 */
public interface AdmissionController {

  /** Takes a revision of the catalogue, which holds limits and weights. */
  void onCatalogue(Catalogue catalogue);

  /** Takes how many requests the endpoints of a service can execute at once, over the fleet. */
  void onCapacity(ServiceName service, int slots, Instant now);

  /** Decides on a request. */
  AdmissionDecision offer(AdmissionRequest request, Instant now);

  /** Takes the end of an admitted request, or of a queued one whose caller has gone. */
  List<Effect> onFinished(RequestId id, Instant now);

  /** Starts and refuses what the passing of time or a change of limits calls for. */
  List<Effect> onTick(Instant now);

  /** Returns how many requests wait. */
  int waiting();
}

package io.hawthornlb.core.admission;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;
import java.util.List;

/**
 * Admits requests within limits and in a fair order. Implementations are confined to one thread.
 *
 * <p>Each offered request ends in exactly one of two ways: it is admitted and later finished, or it
 * is refused.
 */
public interface AdmissionController {

  /** Updates the catalogue, which holds limits and weights. */
  void onCatalogue(Catalogue catalogue);

  /**
   * Updates the number of requests that the endpoints of a service can execute at once, summed over
   * the fleet.
   */
  void onCapacity(ServiceName service, int slots, Instant now);

  /** Decides whether a request starts, waits or is refused. */
  AdmissionDecision offer(AdmissionRequest request, Instant now);

  /**
   * Handles the end of an admitted request, or of a queued one whose caller has disconnected;
   * returns the requests to start.
   */
  List<Effect> onFinished(RequestId id, Instant now);

  /**
   * Starts or refuses queued requests as time passes or limits change. Call this method
   * periodically.
   */
  List<Effect> onTick(Instant now);

  /** Returns the number of queued requests. */
  int waiting();
}

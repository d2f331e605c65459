package io.hawthornlb.core.admission;

import java.time.Duration;

/**
 * Bounds of an admission controller.
 *
 * @param waitingPerService requests of a service that may wait at one entry
 * @param waitingPerWorkspace requests of a workspace that may wait at one entry for a service
 * @param capacityFactor requests in progress for each slot of the endpoints
 * @param bulkEvery one in so many starts is a bulk request while interactive ones wait too
 * @param leastRetryAfter shortest time after which a refused caller is asked to come back
 * @param mostRetryAfter longest such time
 */
public record AdmissionSettings(
    int waitingPerService,
    int waitingPerWorkspace,
    double capacityFactor,
    int bulkEvery,
    Duration leastRetryAfter,
    Duration mostRetryAfter) {

  /** The values in use unless the settings of an instance say otherwise. */
  public static final AdmissionSettings DEFAULT =
      new AdmissionSettings(2_000, 500, 1.0, 4, Duration.ofSeconds(1), Duration.ofSeconds(60));
}

package io.hawthornlb.core.admission;

import java.time.Duration;

/**
 * Limits of an admission controller.
 *
 * @param waitingPerService maximum number of requests of a service that wait at one entry instance
 * @param waitingPerWorkspace maximum number of requests of a workspace that wait for a service at
 *     one entry instance
 * @param capacityFactor number of requests in progress for each slot of the endpoints
 * @param bulkEvery while both kinds of requests wait, one in so many starts is a bulk request
 *     instead of an interactive one
 * @param leastRetryAfter shortest time after which a refused caller is asked to retry
 * @param mostRetryAfter longest time after which a refused caller is asked to retry
 */
public record AdmissionSettings(
    int waitingPerService,
    int waitingPerWorkspace,
    double capacityFactor,
    int bulkEvery,
    Duration leastRetryAfter,
    Duration mostRetryAfter) {

  /** The default values, which the settings of an instance can override. */
  public static final AdmissionSettings DEFAULT =
      new AdmissionSettings(2_000, 500, 1.0, 4, Duration.ofSeconds(1), Duration.ofSeconds(60));
}

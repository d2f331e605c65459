package io.hawthornlb.core.endpoint;

import java.time.Duration;

/**
 * Time limits and thresholds of an endpoint table.
 *
 * @param slowStart time after which a new endpoint gets its full share of requests
 * @param failureHalfLife time after which a failure counts half
 * @param failuresToSuspect number of consecutive failures that make an endpoint suspect
 * @param suspectFor duration of the first suspicion; each further suspicion lasts twice as long
 * @param suspectAtMost maximum duration of a suspicion
 * @param leavingHold time after which a leaving endpoint that is listed as live again is trusted
 * @param absentGrace time for which an endpoint may be missing from the list
 * @param massAbsentGrace time for which endpoints may be missing from the list if most of them are
 *     missing at once
 */
public record EndpointTableSettings(
    Duration slowStart,
    Duration failureHalfLife,
    int failuresToSuspect,
    Duration suspectFor,
    Duration suspectAtMost,
    Duration leavingHold,
    Duration absentGrace,
    Duration massAbsentGrace) {

  /** The default values, which the settings of an instance can override. */
  public static final EndpointTableSettings DEFAULT =
      new EndpointTableSettings(
          Duration.ofSeconds(10),
          Duration.ofSeconds(5),
          3,
          Duration.ofSeconds(1),
          Duration.ofSeconds(30),
          Duration.ofSeconds(30),
          Duration.ofSeconds(3),
          Duration.ofSeconds(30));
}

package io.hawthornlb.core.endpoint;

import java.time.Duration;

/**
 * Times of a table of endpoints.
 *
 * @param slowStart how long a new endpoint takes to get its full share
 * @param failureHalfLife after which a failure counts half
 * @param failuresToSuspect failures in a row that make an endpoint suspect
 * @param suspectFor how long the first suspicion lasts; each further one lasts twice as long
 * @param suspectAtMost how long a suspicion lasts at most
 * @param leavingHold how long an endpoint must be listed as live again before that is believed
 * @param absentGrace how long an endpoint may be missing from the list
 * @param massAbsentGrace the same when most endpoints are missing at once
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

  /** The values in use unless the settings of an instance say otherwise. */
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

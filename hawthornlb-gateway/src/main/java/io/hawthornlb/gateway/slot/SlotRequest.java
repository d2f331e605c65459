package io.hawthornlb.gateway.slot;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import java.time.Duration;
import java.util.Set;

/**
 * Asks for a slot at an endpoint of a service.
 *
 * @param key name of the request
 * @param service service whose endpoints fit
 * @param batch whether somebody waits for the answer (false) or it may give way (true)
 * @param rank order among those that wait; the lowest goes first. Priority of the route for online
 *     requests, due time for batch items
 * @param work time for which a batch item still has to run; zero for online requests
 * @param dataCentre where the gateway stands
 * @param maxWait longest time that it may wait for a slot
 * @param patience longest time that it may wait if it was refused before, and comes back for the
 *     last time
 * @param fingerprint hash of what is asked; 0 if it need not be recognized when it comes again
 * @param excluded lives of endpoints that refused the request or broke off on it
 */
public record SlotRequest(
    SlotKey key,
    String service,
    boolean batch,
    long rank,
    Duration work,
    String dataCentre,
    Duration maxWait,
    Duration patience,
    long fingerprint,
    Set<EndpointIncarnation> excluded) {

  /** Creates a request of unknown work that waits no longer when it comes back. */
  public SlotRequest(
      SlotKey key,
      String service,
      boolean batch,
      long rank,
      String dataCentre,
      Duration maxWait,
      long fingerprint,
      Set<EndpointIncarnation> excluded) {
    this(
        key,
        service,
        batch,
        rank,
        Duration.ZERO,
        dataCentre,
        maxWait,
        maxWait,
        fingerprint,
        excluded);
  }
}

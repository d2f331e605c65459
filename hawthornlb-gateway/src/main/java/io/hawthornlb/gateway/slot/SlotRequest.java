package io.hawthornlb.gateway.slot;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import java.time.Duration;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Requests a slot at an endpoint of a service.
 *
 * @param key key of the request
 * @param service service whose endpoints can serve the request
 * @param batch whether this is a batch item, which may be preempted (true), or an online request,
 *     for which a caller waits (false)
 * @param rank position among the waiting requests; the lowest rank goes first. The priority of the
 *     route for online requests, the due time for batch items
 * @param work time for which a batch item still has to run; zero for online requests
 * @param dataCentre data centre of the gateway
 * @param maxWait longest time that the request may wait for a slot
 * @param patience longest time that the request may wait if it was refused before and this is its
 *     last attempt
 * @param fingerprint hash of the request's content, by which a repeated request is recognized; 0 if
 *     that is not needed
 * @param excluded endpoint incarnations that refused the request or broke the connection while they
 *     ran it
 * @param workspace workspace of the caller; null if the caller is anonymous
 * @param charged whether the request counts against the limit of its workspace; false for batch
 *     items and for further attempts at a request that was counted
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
    Set<EndpointIncarnation> excluded,
    @Nullable WorkspaceId workspace,
    boolean charged) {

  /** Creates a request that counts against no limit. */
  public SlotRequest(
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
    this(
        key,
        service,
        batch,
        rank,
        work,
        dataCentre,
        maxWait,
        patience,
        fingerprint,
        excluded,
        null,
        false);
  }

  /**
   * Creates a request of unknown work that may not wait longer when its caller returns after a
   * refusal.
   */
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

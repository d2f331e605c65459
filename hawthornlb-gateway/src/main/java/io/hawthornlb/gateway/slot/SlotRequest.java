package io.hawthornlb.gateway.slot;

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
 * @param dataCentre where the gateway stands
 * @param maxWait longest time that it may wait for a slot
 * @param fingerprint hash of what is asked; 0 if it need not be recognized when it comes again
 * @param excluded endpoints that refused the request or broke off on it
 */
public record SlotRequest(
    SlotKey key,
    String service,
    boolean batch,
    long rank,
    String dataCentre,
    Duration maxWait,
    long fingerprint,
    Set<String> excluded) {}

package io.hawthornlb.gateway.slot;

import io.hawthornlb.core.learned.LearnedStateSource;
import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Hands out the slots of one service's endpoints to all gateways of the fleet.
 *
 * <p>Online requests arrive in waves that fill every slot for seconds and leave most slots idle in
 * between, and each gateway sees only a small part of them. If gateways placed requests
 * independently, two of them could pick the same endpoint while another endpoint is idle, and would
 * learn of that too late; batch items would also hold slots for seconds. A single coordinator that
 * knows every slot in use places requests exactly, keeps one queue, and revokes slots from batch
 * items as soon as an online request would have to wait.
 *
 * <p>Implementations do no I/O and start no thread; callers pass in the time.
 */
public interface SlotCoordinator {

  /**
   * Handles a request for a slot; returns the answers to send to its holder and to other holders.
   */
  List<SlotAnswer> request(SlotRequest request, Instant now);

  /** Handles the release of a slot or the end of a wait; returns the answers to send. */
  List<SlotAnswer> release(SlotKey key, SlotOutcome outcome, Instant now);

  /**
   * Handles a report that the endpoint of a slot is silent. The first report counts as a hint, the
   * following ones as failures; the slot stays in use.
   */
  void suspect(SlotKey key, Instant now);

  /** Handles the load that the endpoint of a slot reported. */
  void reportLoad(SlotKey key, ReportedLoad load, Instant now);

  /** Blocks a request because another coordinator found that it crashed too many endpoints. */
  void blockRequest(long fingerprint, Instant now);

  /** Renews the leases of a holder, which lists all slots that it uses; unknown ones are added. */
  void renew(String holder, List<SlotUse> uses, Instant now);

  /**
   * Refuses the requests that have waited too long, drops the leases of silent holders, and grants
   * free slots; returns the answers to send.
   */
  List<SlotAnswer> tick(Instant now);

  /** Returns what this coordinator has learned about its service. */
  LearnedStateSource learned();

  /**
   * Returns whether any request waits or any slot is in use, so that {@link #tick} must be called.
   */
  boolean busy();

  /** Returns the demand of online requests; empty unless decisions use its forecast. */
  default Optional<DemandReport> demand(Instant now) {
    return Optional.empty();
  }
}

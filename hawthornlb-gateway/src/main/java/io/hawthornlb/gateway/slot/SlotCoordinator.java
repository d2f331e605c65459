package io.hawthornlb.gateway.slot;

import io.hawthornlb.gateway.wire.ReportedLoad;
import java.time.Instant;
import java.util.List;

/**
 * Hands out the slots of one service's endpoints to all gateways of the fleet.
 *
 * <p>Load pattern: online requests come in waves that fill every slot for seconds, and leave most
 * of them idle in between; each gateway sees a small part. Gateways that place by themselves send
 * two requests to one endpoint while another one idles, and learn of it too late, and batch items
 * hold slots for seconds. One place that knows every use places exactly, queues in one order, and
 * takes slots back from batch items at the moment when an online request would wait.
 *
 * <p>It has no I/O and no thread; time is passed in.
 */
public interface SlotCoordinator {

  /** Takes a request for a slot; returns what to tell its holder and others. */
  List<SlotAnswer> request(SlotRequest request, Instant now);

  /** Takes the end of a use, or the end of waiting. */
  List<SlotAnswer> release(SlotKey key, SlotOutcome outcome, Instant now);

  /**
   * Takes that the endpoint of a use is silent: at first a hint, then a failure; the use goes on.
   */
  void suspect(SlotKey key, Instant now);

  /** Takes the load that the endpoint of a use told. */
  void told(SlotKey key, ReportedLoad load, Instant now);

  /** Takes from another coordinator that a request has crashed too many endpoints. */
  void bar(long fingerprint, Instant now);

  /** Takes all uses of a holder, which become known or stay so. */
  void renew(String holder, List<SlotUse> uses, Instant now);

  /** Refuses those that have waited too long, forgets silent holders, fills free slots. */
  List<SlotAnswer> tick(Instant now);

  /** Returns whether anything waits or is in use, so that ticks are needed. */
  boolean busy();
}

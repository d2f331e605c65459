package io.hawthornlb.gateway.slot.support;

import java.time.Duration;

/**
 * Limits of a coordinator.
 *
 * @param leaseTime time after which the uses of a silent holder are forgotten
 * @param firstPenalty time for which an endpoint gets nothing after a first failure
 * @param maxPenalty longest such time
 * @param shedPenalty time for which an endpoint gets nothing after it was full
 * @param cutPenalty time for which a data centre that seems cut off gets nothing
 * @param tryTime time for which one request alone tries an endpoint after a penalty
 */
public record SlotSettings(
    Duration leaseTime,
    Duration firstPenalty,
    Duration maxPenalty,
    Duration shedPenalty,
    Duration cutPenalty,
    Duration tryTime) {

  /**
   * Defaults. Holders renew every second, so three seconds bear two lost datagrams. A first failure
   * is often one cut connection, hence 200 ms; crashed endpoints are back after 3 to 5 s. A full
   * endpoint frees a slot about every 90 ms (8 slots of 0.7 s each). Cuts last about 5 s; a try
   * every 700 ms costs one connection attempt of 120 ms and finds the end soon. A connection
   * attempt fails after 120 ms, and a first event takes 60 to 100 ms.
   */
  public static final SlotSettings DEFAULT =
      new SlotSettings(
          Duration.ofSeconds(3),
          Duration.ofMillis(200),
          Duration.ofSeconds(3),
          Duration.ofMillis(100),
          Duration.ofMillis(700),
          Duration.ofMillis(200));
}

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
 * @param outlierShare share of failures from which on an endpoint is avoided
 * @param outlierTime time for which it is avoided at first
 * @param maxOutlierTime longest such time
 * @param returnTime time after the one told for which a refused caller is expected; negative if
 *     refused callers are not told from others when they come back
 */
public record SlotSettings(
    Duration leaseTime,
    Duration firstPenalty,
    Duration maxPenalty,
    Duration shedPenalty,
    Duration cutPenalty,
    Duration tryTime,
    double outlierShare,
    Duration outlierTime,
    Duration maxOutlierTime,
    Duration returnTime) {

  /**
   * Defaults. Holders renew every second, so three seconds bear two lost datagrams. A first failure
   * is often one cut connection, hence 200 ms; crashed endpoints are back after 3 to 5 s. A full
   * endpoint frees a slot about every 90 ms (8 slots of 0.7 s each). Cuts last about 5 s; a try
   * every 700 ms costs one connection attempt of 120 ms and finds the end soon. A connection
   * attempt fails after 120 ms, and a first event takes 60 to 100 ms. Lost and torn answers of 5 in
   * 100 requests are ordinary trouble, endpoints that fail part of their requests fail 40 in 100,
   * for 5 to 7 s. A caller that comes back needs 20 ms for its way and a connection, on a busy
   * instance some 100 ms.
   */
  public static final SlotSettings DEFAULT =
      new SlotSettings(
          Duration.ofSeconds(3),
          Duration.ofMillis(200),
          Duration.ofSeconds(3),
          Duration.ofMillis(100),
          Duration.ofMillis(700),
          Duration.ofMillis(200),
          0.25,
          Duration.ofSeconds(2),
          Duration.ofSeconds(8),
          Duration.ofMillis(500));

  /** Returns a builder that starts from the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds settings that differ from the defaults. */
  public static final class Builder {

    private double outlierShare = DEFAULT.outlierShare();
    private Duration returnTime = DEFAULT.returnTime();

    private Builder() {}

    /** Sets the share of failures from which on an endpoint is avoided. */
    public Builder outlierShare(double share) {
      outlierShare = share;
      return this;
    }

    /** Sets the time for which a refused caller is expected. */
    public Builder returnTime(Duration time) {
      returnTime = time;
      return this;
    }

    /** Returns the settings. */
    public SlotSettings build() {
      return new SlotSettings(
          DEFAULT.leaseTime(),
          DEFAULT.firstPenalty(),
          DEFAULT.maxPenalty(),
          DEFAULT.shedPenalty(),
          DEFAULT.cutPenalty(),
          DEFAULT.tryTime(),
          outlierShare,
          DEFAULT.outlierTime(),
          DEFAULT.maxOutlierTime(),
          returnTime);
    }
  }
}

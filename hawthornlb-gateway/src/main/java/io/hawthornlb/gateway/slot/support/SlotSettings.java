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
 * @param lateItemsLast whether items that can no longer be in time go behind the others
 * @param itemReserve slots kept free from items, as a multiple of the square root of those that
 *     online requests use
 * @param placement which endpoint gets a request
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
    Duration returnTime,
    boolean lateItemsLast,
    double itemReserve,
    Placement placement) {

  /**
   * Defaults. A lease bears two lost renewals. The first penalty is short, since a first failure is
   * often one cut connection; the longest is as long as a crashed endpoint takes to be back.
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
          Duration.ofMillis(500),
          true,
          1,
          new NearestPlacement());

  /** Returns a builder that starts from the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds settings that differ from the defaults. */
  public static final class Builder {

    private double outlierShare = DEFAULT.outlierShare();
    private Duration returnTime = DEFAULT.returnTime();
    private boolean lateItemsLast = DEFAULT.lateItemsLast();
    private double itemReserve = DEFAULT.itemReserve();
    private Placement placement = DEFAULT.placement();

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

    /** Sets whether items that can no longer be in time go behind the others. */
    public Builder lateItemsLast(boolean last) {
      lateItemsLast = last;
      return this;
    }

    /** Sets how many slots are kept free from items. */
    public Builder itemReserve(double factor) {
      itemReserve = factor;
      return this;
    }

    /** Sets which endpoint gets a request. */
    Builder placement(Placement order) {
      placement = order;
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
          returnTime,
          lateItemsLast,
          itemReserve,
          placement);
    }
  }
}

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

  /** The defaults, which the builder names. */
  public static final SlotSettings DEFAULT = builder().build();

  /** Returns a builder that starts from the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds settings that differ from the defaults. */
  public static final class Builder {

    /** Bears two lost renewals. */
    private static final Duration LEASE_TIME = Duration.ofSeconds(3);

    /** Short, since a first failure is often one cut connection. */
    private static final Duration FIRST_PENALTY = Duration.ofMillis(200);

    /** About as long as a crashed endpoint takes to be back. */
    private static final Duration MAX_PENALTY = Duration.ofSeconds(3);

    private static final Duration SHED_PENALTY = Duration.ofMillis(100);

    private static final Duration CUT_PENALTY = Duration.ofMillis(700);

    private static final Duration TRY_TIME = Duration.ofMillis(200);

    private static final Duration OUTLIER_TIME = Duration.ofSeconds(2);

    private static final Duration MAX_OUTLIER_TIME = Duration.ofSeconds(8);

    private double outlierShare = 0.25;
    private Duration returnTime = Duration.ofMillis(500);
    private boolean lateItemsLast = true;
    private double itemReserve = 1;
    private Placement placement = new NearestPlacement();

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
          LEASE_TIME,
          FIRST_PENALTY,
          MAX_PENALTY,
          SHED_PENALTY,
          CUT_PENALTY,
          TRY_TIME,
          outlierShare,
          OUTLIER_TIME,
          MAX_OUTLIER_TIME,
          returnTime,
          lateItemsLast,
          itemReserve,
          placement);
    }
  }
}

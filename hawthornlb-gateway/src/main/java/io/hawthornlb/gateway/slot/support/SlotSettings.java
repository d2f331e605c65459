package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.slot.SchedulingSettings;
import java.time.Duration;

/**
 * Settings of a coordinator.
 *
 * @param leaseTime time after which the leases of a silent holder expire
 * @param firstPenalty time for which an endpoint gets no requests after a first failure
 * @param maxPenalty longest time for which an endpoint gets no requests after repeated failures
 * @param shedPenalty time for which an endpoint gets no requests after it was full
 * @param cutPenalty time for which a data centre that seems to be cut off gets no requests
 * @param probeTime time for which a single request probes an endpoint after a penalty
 * @param outlierShare share of failures from which on an endpoint is avoided
 * @param outlierTime time for which an endpoint is avoided when it is first found to be failing
 * @param maxOutlierTime longest time for which an endpoint is avoided
 * @param returnTime time after the announced moment during which a refused caller is still expected
 *     to return; negative to treat returning callers like new ones
 * @param lateItemsLast whether items that can no longer finish in time go behind the other items
 * @param itemReserve slots kept free from items, as a multiple of the square root of the number of
 *     slots that online requests use
 * @param placement determines which endpoint gets a request
 * @param scheduling settings of the deployment
 */
public record SlotSettings(
    Duration leaseTime,
    Duration firstPenalty,
    Duration maxPenalty,
    Duration shedPenalty,
    Duration cutPenalty,
    Duration probeTime,
    double outlierShare,
    Duration outlierTime,
    Duration maxOutlierTime,
    Duration returnTime,
    boolean lateItemsLast,
    double itemReserve,
    Placement placement,
    SchedulingSettings scheduling) {

  /** The default settings, as defined in {@link Builder}. */
  public static final SlotSettings DEFAULT = builder().build();

  /** Returns a builder that starts with the defaults. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds settings that differ from the defaults. */
  public static final class Builder {

    /** Long enough that a lease survives two lost renewals. */
    private static final Duration LEASE_TIME = Duration.ofSeconds(3);

    /** Short, since a first failure is often a single broken connection. */
    private static final Duration FIRST_PENALTY = Duration.ofMillis(200);

    /** About as long as a crashed endpoint takes to restart. */
    private static final Duration MAX_PENALTY = Duration.ofSeconds(3);

    private static final Duration SHED_PENALTY = Duration.ofMillis(100);

    private static final Duration CUT_PENALTY = Duration.ofMillis(700);

    private static final Duration PROBE_TIME = Duration.ofMillis(200);

    private static final Duration OUTLIER_TIME = Duration.ofSeconds(2);

    private static final Duration MAX_OUTLIER_TIME = Duration.ofSeconds(8);

    private double outlierShare = 0.25;
    private Duration returnTime = Duration.ofMillis(500);
    private boolean lateItemsLast = true;
    private double itemReserve = 1;
    private Placement placement = new NearestPlacement();
    private SchedulingSettings scheduling = SchedulingSettings.DEFAULT;

    private Builder() {}

    /** Sets the share of failures from which on an endpoint is avoided. */
    public Builder outlierShare(double share) {
      outlierShare = share;
      return this;
    }

    /** Sets the time during which a refused caller is expected to return. */
    public Builder returnTime(Duration time) {
      returnTime = time;
      return this;
    }

    /** Sets whether items that can no longer finish in time go behind the other items. */
    public Builder lateItemsLast(boolean last) {
      lateItemsLast = last;
      return this;
    }

    /**
     * Sets how many slots are kept free from items, as a multiple of the square root of the number
     * of slots that online requests use.
     */
    public Builder itemReserve(double factor) {
      itemReserve = factor;
      return this;
    }

    /** Sets the placement, which determines which endpoint gets a request. */
    Builder placement(Placement order) {
      placement = order;
      return this;
    }

    /** Sets the scheduling settings of the deployment. */
    public Builder scheduling(SchedulingSettings settings) {
      scheduling = settings;
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
          PROBE_TIME,
          outlierShare,
          OUTLIER_TIME,
          MAX_OUTLIER_TIME,
          returnTime,
          lateItemsLast,
          itemReserve,
          placement,
          scheduling);
    }
  }
}

package io.hawthornlb.standin.bound.support;

import io.hawthornlb.standin.bound.BoundDay;
import io.hawthornlb.standin.bound.Demand;
import io.hawthornlb.standin.bound.DemandBound;
import io.hawthornlb.standin.bound.WorthBound;
import io.hawthornlb.standin.load.Phase;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Bound of work that flows from its arrivals to the slots of the steps until it is due.
 *
 * <p>Work may be cut at will, moved at no cost and done by all slots at once, and what is to come
 * is known: each policy does less. The demands are served by the worth that a slot earns with them;
 * flow that one has is never taken back for the next, but may move to other steps. So the whole is
 * the most that can be earned: what can be served together is a matroid.
 */
public final class FlowWorthBound implements WorthBound {

  /** Length of a step; work and arrivals within one are not told apart. */
  private static final int STEP_MILLIS = 200;

  @Override
  public List<DemandBound> of(BoundDay day) {
    Network network = new Network(day);
    Map<Demand, Long> served = new HashMap<>();
    Comparator<Demand> dearestFirst =
        Comparator.comparingDouble(Demand::worthPerSlotMilli).reversed();
    day.demands().stream()
        .sorted(dearestFirst)
        .forEach(demand -> served.put(demand, network.serve(demand)));
    return day.demands().stream().map(demand -> bound(day, demand, served.get(demand))).toList();
  }

  private static DemandBound bound(BoundDay day, Demand demand, long servedMillis) {
    double owed = 0;
    double stored = 0;
    for (int step = 0; step < steps(day); step++) {
      double arrives = arrivals(demand, step);
      owed += arrives;
      stored += canBeStored(day, demand, step) ? arrives : 0;
    }
    double done = Math.min(stored, (double) servedMillis / demand.workMillis());
    return new DemandBound(
        demand.name(),
        owed * demand.worth(),
        (owed - stored) * demand.worth(),
        (stored - done) * demand.worth());
  }

  private static int steps(BoundDay day) {
    return (int) (day.lengthMillis() / STEP_MILLIS);
  }

  private static double arrivals(Demand demand, int step) {
    long from = (long) step * STEP_MILLIS;
    double arrivals = 0;
    for (Phase phase : demand.phases()) {
      long begin = Math.max(from, phase.fromMillis());
      long end = Math.min(from + STEP_MILLIS, phase.toMillis());
      arrivals += phase.perSecond() * Math.max(0, end - begin) / 1_000;
    }
    return arrivals;
  }

  private static boolean canBeStored(BoundDay day, Demand demand, int step) {
    long arrived = (long) step * STEP_MILLIS;
    return demand.storedWithinMillis() < 0
        || day.storeWithin(arrived, arrived + demand.storedWithinMillis());
  }

  /** Arrivals on one side, the steps with their slots on the other. */
  private static final class Network {

    private final BoundDay day;
    private final MaxFlow flow = new MaxFlow();
    private final int source = flow.node();
    private final int sink = flow.node();
    private final int[] slotsOfSteps;

    private Network(BoundDay day) {
      this.day = day;
      slotsOfSteps = new int[steps(day)];
      for (int step = 0; step < slotsOfSteps.length; step++) {
        slotsOfSteps[step] = flow.node();
        long slots = day.slotsAt((long) step * STEP_MILLIS);
        flow.edge(slotsOfSteps[step], sink, slots * STEP_MILLIS);
      }
    }

    /** Adds a demand and returns for how many milliseconds slots can serve it. */
    private long serve(Demand demand) {
      int window = (int) Math.ceil((double) demand.withinMillis() / STEP_MILLIS);
      for (int step = 0; step < slotsOfSteps.length; step++) {
        long work = Math.round(arrivals(demand, step) * demand.workMillis());
        if (work > 0 && canBeStored(day, demand, step)) {
          int arrivals = flow.node();
          flow.edge(source, arrivals, work);
          int last = Math.min(slotsOfSteps.length - 1, step + window);
          for (int at = step; at <= last; at++) {
            flow.edge(arrivals, slotsOfSteps[at], Long.MAX_VALUE);
          }
        }
      }
      return flow.increase(source, sink);
    }
  }
}

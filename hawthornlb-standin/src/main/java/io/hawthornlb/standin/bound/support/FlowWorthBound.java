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
 * Computes the bound as the maximum flow of work from its arrivals to the slots of the time steps
 * up to its deadline.
 *
 * <p>The model is more generous than any real policy. Work can be split arbitrarily, moves between
 * slots at no cost and can run in all slots in parallel. All future arrivals are known. Therefore
 * no policy can earn more.
 *
 * <p>The demands are added to the network in descending order of the worth that a slot earns per
 * millisecond with them. A demand that is added later never reduces the flow of an earlier demand,
 * but can shift that flow to other time steps. This greedy order yields the maximum total worth
 * because the sets of work that can be served together form a matroid.
 */
public final class FlowWorthBound implements WorthBound {

  /** The length of a time step. Times within one step are not distinguished. */
  private static final int STEP_MILLIS = 200;

  @Override
  public List<DemandBound> of(BoundDay day) {
    FlowNetwork flowNetwork = new FlowNetwork(day);
    Map<Demand, Long> served = new HashMap<>();
    Comparator<Demand> highestWorthFirst =
        Comparator.comparingDouble(Demand::worthPerSlotMilli).reversed();
    day.demands().stream()
        .sorted(highestWorthFirst)
        .forEach(demand -> served.put(demand, flowNetwork.serve(demand)));
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
        || day.isStoreAvailableWithin(arrived, arrived + demand.storedWithinMillis());
  }

  /**
   * A bipartite flow network from arrivals to time steps, whose slots limit the flow to the sink.
   */
  private static final class FlowNetwork {

    private final BoundDay day;
    private final MaxFlow flow = new MaxFlow();
    private final int source = flow.addNode();
    private final int sink = flow.addNode();
    private final int[] stepNodes;

    private FlowNetwork(BoundDay day) {
      this.day = day;
      stepNodes = new int[steps(day)];
      for (int step = 0; step < stepNodes.length; step++) {
        stepNodes[step] = flow.addNode();
        long slots = day.slotsAt((long) step * STEP_MILLIS);
        flow.addEdge(stepNodes[step], sink, slots * STEP_MILLIS);
      }
    }

    /** Adds a demand and returns the slot time that can serve it, in milliseconds. */
    private long serve(Demand demand) {
      int window = (int) Math.ceil((double) demand.withinMillis() / STEP_MILLIS);
      for (int step = 0; step < stepNodes.length; step++) {
        long work = Math.round(arrivals(demand, step) * demand.workMillis());
        if (work > 0 && canBeStored(day, demand, step)) {
          int arrivalNode = flow.addNode();
          flow.addEdge(source, arrivalNode, work);
          int last = Math.min(stepNodes.length - 1, step + window);
          for (int servedStep = step; servedStep <= last; servedStep++) {
            flow.addEdge(arrivalNode, stepNodes[servedStep], Long.MAX_VALUE);
          }
        }
      }
      return flow.augment(source, sink);
    }
  }
}

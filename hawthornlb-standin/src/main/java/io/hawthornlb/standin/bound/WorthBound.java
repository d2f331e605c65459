package io.hawthornlb.standin.bound;

import java.util.List;

/** Computes an upper bound on the worth that any scheduling policy can earn on a day. */
public interface WorthBound {

  /** Returns the bound of each demand, in the order in which the day lists the demands. */
  List<DemandBound> of(BoundDay day);
}

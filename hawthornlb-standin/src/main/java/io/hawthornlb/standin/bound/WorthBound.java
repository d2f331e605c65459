package io.hawthornlb.standin.bound;

import java.util.List;

/** Computes the worth that no policy can exceed on a day. */
public interface WorthBound {

  /** Returns the bound of each demand, in the order of the day. */
  List<DemandBound> of(BoundDay day);
}

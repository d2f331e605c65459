package io.hawthornlb.standin.bound;

/**
 * Upper bound on the worth that any scheduling policy can earn from one demand.
 *
 * @param name the name of the demand
 * @param owed the worth of all its requests
 * @param withoutStore the worth of the requests that the store can't accept in time
 * @param withoutSlots the worth that no schedule can earn because there are too few slots
 */
public record DemandBound(String name, double owed, double withoutStore, double withoutSlots) {

  /** Returns the worth that no scheduling policy can exceed for this demand. */
  public double most() {
    return owed - withoutStore - withoutSlots;
  }
}

package io.hawthornlb.standin.bound;

/**
 * What can be earned of one demand.
 *
 * @param name name of the demand
 * @param owed worth of all requests
 * @param withoutStore worth of requests that the store cannot take in time
 * @param withoutSlots worth that no order of work can earn, for want of slots
 */
public record DemandBound(String name, double owed, double withoutStore, double withoutSlots) {

  /** Returns the worth that no policy can exceed. */
  public double most() {
    return owed - withoutStore - withoutSlots;
  }
}

package io.hawthornlb.gateway.job;

/**
 * Tells the other processes which partitions this one holds.
 *
 * <p>Failure: a holder is cut off from the store, and another process takes its partitions over.
 * The former one runs their items on, in slots that others need, until it reaches the store again.
 * Guard: the new holder tells the others directly; a notice that is lost costs slots, nothing else.
 */
public interface HoldNotices {

  /** Tells that this process holds a partition under an epoch. */
  void held(int partition, long epoch);

  /** Sets who is told what other processes hold. */
  void onHeld(Listener listener);

  /** Receives notices of other processes. */
  interface Listener {

    /** Takes a notice; the higher epoch is the later holder's. */
    void onHeld(String holder, int partition, long epoch);
  }
}

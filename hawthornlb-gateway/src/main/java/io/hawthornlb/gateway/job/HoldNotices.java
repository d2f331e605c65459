package io.hawthornlb.gateway.job;

/**
 * Notifies the other processes which partitions this process holds.
 *
 * <p>A holder may be cut off from the store while another process takes its partitions over. The
 * former holder would continue to run their items, in slots that other work needs, until it reaches
 * the store again. Therefore the new holder notifies the other processes directly. A lost notice
 * costs slots and nothing else.
 */
public interface HoldNotices {

  /** Sends a notice that this process holds a partition under an epoch. */
  void held(int partition, long epoch);

  /** Sets the listener for notices of other processes. */
  void onHeld(Listener listener);

  /** Listener for notices of other processes. */
  interface Listener {

    /**
     * Called with a notice. Of two holders of a partition, the one with the higher epoch is the
     * later.
     */
    void onHeld(String holder, int partition, long epoch);
  }
}

package io.hawthornlb.gateway.job;

/**
 * Claim of a process to hold a partition, with an epoch that no other claim of the partition has.
 *
 * @param epoch epoch under which the claimant writes once the store has accepted it as a fence
 * @param generation generation of the group that assigned the partition to the claimant
 * @param holder name of the claimant
 * @param offset offset of the claim among the claims of the partition
 */
record HoldClaim(long epoch, long generation, String holder, long offset) {

  /** Number of bits of the sequence numbers that belong to one claim. */
  private static final int SEQUENCE_BITS = 20;

  /**
   * Returns the epoch to fence with before {@link #epoch}. If the store accepts it, each epoch that
   * the store has seen is below that of the claim; a fence alone may also equal an earlier one.
   */
  long probeEpoch() {
    return epoch - 1;
  }

  /**
   * Returns the sequence number of the holder's first append.
   *
   * <p>The store takes an append for a repeat of an earlier one if both have the same epoch and
   * sequence number. A process that does not claim its epochs might choose the same epoch between
   * the probe and the fence. Its appends have other sequence numbers, so that the store refuses one
   * of the two and confirms nothing that it did not carry out.
   */
  long firstSequence() {
    return (offset + 1) << SEQUENCE_BITS;
  }
}

package io.hawthornlb.gateway.job;

import java.time.Instant;
import java.util.OptionalLong;

/**
 * Search for an epoch above all those that the store has seen for a partition. Performs no I/O.
 *
 * <p>The highest epoch that the store has seen may be that of a claim, which is known, or that of
 * the former program, the last one that did not claim its epochs; the store does not tell it. The
 * search begins behind the newest claim. After a refusal it continues where a process of the former
 * program would begin, so that an operator can go back to that program; then its steps double. A
 * clock is used for this second candidate alone, and a wrong one costs some steps.
 */
final class EpochSearch {

  /** Highest epoch that the records of a partition may contain. */
  static final long MAX_EPOCH = JobRecords.MAX_LONG;

  /** Distance of the epochs of two generations of the group. */
  private static final long EPOCHS_PER_GENERATION = 10_000_000;

  /** Number of tenths of a second after which the epochs of the former program repeat. */
  private static final long FORMER_CYCLE = 5_000_000;

  private static final long FORMER_UNIT_MILLIS = 100;

  /** Epochs by which the former program gets further in six seconds of refusals. */
  private static final long FORMER_REACH = 10_000;

  /** Number of epochs of a claim: the one to probe with, and the one to hold under. */
  private static final long EPOCHS_PER_CLAIM = 2;

  private static final long FIRST_STEP = 1_000;

  /** Number of doublings after which a step exceeds half of all epochs. */
  private static final int MAX_DOUBLINGS = 49;

  private final long lowest;
  private final long former;
  private int refusals;

  /** Creates the search for a partition that a generation of the group assigns to this process. */
  EpochSearch(long generation, Instant now) {
    lowest = lowest(generation);
    former = lowest + Math.floorMod(now.toEpochMilli() / FORMER_UNIT_MILLIS, FORMER_CYCLE);
  }

  private static long lowest(long generation) {
    return generation < MAX_EPOCH / EPOCHS_PER_GENERATION ? generation * EPOCHS_PER_GENERATION : 0;
  }

  /**
   * Returns whether a process of the former program could not succeed a holder with this epoch
   * within seconds in the present generation, whatever its clock, and could in the next one.
   */
  static boolean barsFormer(long epoch, long generation) {
    return epoch >= lowest(generation) + FORMER_REACH && epoch < lowest(generation + 1);
  }

  /**
   * Returns the epoch to claim next; empty if none is left.
   *
   * @param lastClaimed epoch of the newest claim of the partition; -1 if there is none
   */
  OptionalLong next(long lastClaimed) {
    long unclaimed = lastClaimed + EPOCHS_PER_CLAIM;
    if (unclaimed > MAX_EPOCH) {
      return OptionalLong.empty();
    }
    long candidate = Math.max(unclaimed, refusals == 0 ? lowest : former);
    if (refusals > 1) {
      candidate += FIRST_STEP << Math.min(refusals - 2, MAX_DOUBLINGS);
    }
    return OptionalLong.of(Math.min(candidate, MAX_EPOCH));
  }

  /** Records that the store has refused the last epoch. */
  void refused() {
    refusals++;
  }

  /** Returns how many epochs the store has refused. */
  int refusals() {
    return refusals;
  }
}

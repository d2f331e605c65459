package io.hawthornlb.gateway.job;

import java.util.Comparator;

/**
 * Point in an item's output, as recorded by one holder of the item's partition.
 *
 * <p>Each holder has an epoch of its own, and a holder records each event of an item once.
 *
 * @param eventId number of the last event before the point; -1 before the first event
 * @param epoch epoch of the holder; -1 where nothing is recorded
 */
record ProgressLink(long eventId, long epoch) implements Comparable<ProgressLink> {

  /** Start of an item's output, before any recorded event. */
  static final ProgressLink START = new ProgressLink(-1, -1);

  private static final Comparator<ProgressLink> ORDER =
      Comparator.comparingLong(ProgressLink::eventId).thenComparingLong(ProgressLink::epoch);

  /** Compares by the event number, then by the epoch. */
  @Override
  public int compareTo(ProgressLink other) {
    return ORDER.compare(this, other);
  }
}

package io.hawthornlb.gateway.job;

import java.util.Comparator;

/**
 * Place in what an item has produced, as one holder of its partition has recorded it.
 *
 * <p>One epoch is that of one holder, and each event of an item is recorded by it once.
 *
 * @param eventId last event before the place; -1 before the first one
 * @param epoch epoch of the holder; -1 where nothing is recorded
 */
record ProgressLink(long eventId, long epoch) implements Comparable<ProgressLink> {

  /** Place of an item of which nothing is recorded. */
  static final ProgressLink START = new ProgressLink(-1, -1);

  private static final Comparator<ProgressLink> ORDER =
      Comparator.comparingLong(ProgressLink::eventId).thenComparingLong(ProgressLink::epoch);

  /** Compares by the event, then by the epoch. */
  @Override
  public int compareTo(ProgressLink other) {
    return ORDER.compare(this, other);
  }
}

package io.hawthornlb.core.demand.support;

import java.time.Duration;
import java.time.Instant;

/**
 * Work of the online requests that arrived in the last 30 s, in bins of 100 ms.
 *
 * <p>The work that arrives in a bin, divided by the length of the bin, is the number of slots that
 * would be in use if requests kept arriving at that rate.
 */
final class DemandBins {

  /** Length of a bin in milliseconds. */
  static final int BIN_MILLIS = 100;

  /** Number of bins that are kept; five cycles of 6 s. */
  static final int BINS = 300;

  private final long[] work = new long[BINS];
  private final int[] arrivals = new int[BINS];

  /** Bins from the first to the last one hold data; there are none if the last is before it. */
  private long first;

  private long last = -1;

  /** Returns the number of the bin of a moment. */
  static long bin(Instant at) {
    return Math.floorDiv(at.toEpochMilli(), BIN_MILLIS);
  }

  void add(Duration slotTime, Instant now) {
    long bin = bin(now);
    if (last < first) {
      first = bin;
      last = bin;
      clear(bin);
    }
    advance(bin);
    int index = index(bin);
    work[index] += slotTime.toMillis();
    arrivals[index]++;
  }

  /** Drops the bins that are too old, and those in the future, which a clock jump leaves behind. */
  void advance(long bin) {
    if (last < first) {
      return;
    }
    if (bin < first || bin - last >= BINS) {
      first = bin;
      last = bin - 1;
    }
    for (long each = bin + 1; each <= last; each++) {
      clear(each);
    }
    for (long each = last + 1; each <= bin; each++) {
      clear(each);
    }
    last = bin;
    first = Math.max(first, bin - BINS + 1);
  }

  /** Returns the number of the first bin that has been observed whole. */
  long firstWhole() {
    return first + 1;
  }

  /** Returns the slots by bin, from the first to the last whole bin. */
  double[] slots() {
    int count = (int) Math.max(0, last - firstWhole());
    double[] slots = new double[count];
    for (int i = 0; i < count; i++) {
      slots[i] = (double) work[index(firstWhole() + i)] / BIN_MILLIS;
    }
    return slots;
  }

  /** Returns the mean slot time of the requests that arrived, in bins; at least one bin. */
  int slotTimeBins() {
    long total = 0;
    long count = 0;
    for (long each = first; each <= last; each++) {
      total += work[index(each)];
      count += arrivals[index(each)];
    }
    return count == 0 ? 1 : (int) Math.max(1, Math.round((double) total / count / BIN_MILLIS));
  }

  private void clear(long bin) {
    work[index(bin)] = 0;
    arrivals[index(bin)] = 0;
  }

  private static int index(long bin) {
    return (int) Math.floorMod(bin, (long) BINS);
  }
}

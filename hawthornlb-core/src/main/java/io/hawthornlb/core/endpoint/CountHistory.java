package io.hawthornlb.core.endpoint;

import java.time.Instant;
import java.util.Arrays;

/**
 * A count with its recent history, by which a delayed report can be brought up to date.
 *
 * <p>Changes within {@value #BUCKET_MILLIS} ms share one sample. At most {@value #CAPACITY} samples
 * are kept; the oldest is dropped first.
 */
public final class CountHistory {

  static final int BUCKET_MILLIS = 50;
  static final int CAPACITY = 128;
  private static final int INITIAL = 8;

  private long[] times = new long[INITIAL];
  private int[] values = new int[INITIAL];
  private int size;
  private int first;
  private int before;
  private int current;

  /** Adds a change to the count. */
  public void add(int change, Instant now) {
    current += change;
    long time = now.toEpochMilli();
    if (size > 0 && time - times[slot(size - 1)] < BUCKET_MILLIS) {
      values[slot(size - 1)] = current;
      return;
    }
    makeRoom();
    times[slot(size)] = time;
    values[slot(size)] = current;
    size++;
  }

  /** Returns the current count. */
  public int current() {
    return current;
  }

  /** Returns the count at a time; for a time before the history, returns the oldest known count. */
  public int at(Instant time) {
    long millis = time.toEpochMilli();
    int low = 0;
    int high = size;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (times[slot(middle)] <= millis) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low == 0 ? before : values[slot(low - 1)];
  }

  /** Returns by how much the count has changed since a time. */
  public int changeSince(Instant time) {
    return current - at(time);
  }

  private int slot(int index) {
    return (first + index) % times.length;
  }

  private void makeRoom() {
    if (size < times.length) {
      return;
    }
    if (times.length < CAPACITY) {
      grow();
      return;
    }
    before = values[first];
    first = slot(1);
    size--;
  }

  private void grow() {
    long[] oldTimes = times;
    int[] oldValues = values;
    times = Arrays.copyOf(oldTimes, oldTimes.length * 2);
    values = Arrays.copyOf(oldValues, oldValues.length * 2);
  }
}

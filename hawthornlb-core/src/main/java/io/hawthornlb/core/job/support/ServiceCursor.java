package io.hawthornlb.core.job.support;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Finds the next free item of one service. */
final class ServiceCursor {

  private final BitSet taken;
  private final List<Range> ranges = new ArrayList<>();
  private int current;

  ServiceCursor(BitSet taken) {
    this.taken = taken;
  }

  void add(int first, int end) {
    ranges.add(new Range(first, end));
  }

  /** Returns the index of the next free item, or -1 if there is none. */
  int next() {
    while (current < ranges.size()) {
      Range range = ranges.get(current);
      int index = taken.nextClearBit(range.first());
      if (index < range.end()) {
        return index;
      }
      current++;
    }
    return -1;
  }

  void release(int index) {
    for (int i = 0; i < current; i++) {
      Range range = ranges.get(i);
      if (range.first() <= index && index < range.end()) {
        current = i;
        return;
      }
    }
  }

  private record Range(int first, int end) {}
}

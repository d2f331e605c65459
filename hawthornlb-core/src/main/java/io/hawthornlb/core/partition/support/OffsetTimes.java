package io.hawthornlb.core.partition.support;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Records approximately when which offset was appended, with a bounded number of marks. */
final class OffsetTimes {

  private static final int MARKS = 64;

  private final Duration step;
  private final Deque<Mark> marks = new ArrayDeque<>();

  OffsetTimes(Duration span) {
    this.step = span.dividedBy(MARKS / 2);
  }

  void record(long offset, Instant appendedAt) {
    if (!marks.isEmpty() && appendedAt.isBefore(marks.peekLast().time().plus(step))) {
      return;
    }
    marks.addLast(new Mark(offset, appendedAt));
    if (marks.size() > MARKS) {
      marks.removeFirst();
    }
  }

  /** Returns the offset of the last mark at or before a time, or 0 if there is none. */
  long offsetAt(Instant time) {
    long offset = 0;
    for (Mark mark : marks) {
      if (mark.time().isAfter(time)) {
        break;
      }
      offset = mark.offset();
    }
    return offset;
  }

  private record Mark(long offset, Instant time) {}
}

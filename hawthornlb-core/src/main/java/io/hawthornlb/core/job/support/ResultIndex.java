package io.hawthornlb.core.job.support;

import io.hawthornlb.core.job.ResultPage;
import io.hawthornlb.core.job.ResultSpan;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;

/**
 * Positions of the results of one job in the log. The index takes twelve bytes for each outcome
 * group, plus the positions of void outcomes for the few groups that have any.
 */
final class ResultIndex {

  private static final int FIRST_CAPACITY = 4;

  private long[] offsets = new long[FIRST_CAPACITY];
  private int[] groups = new int[FIRST_CAPACITY];
  private int size;
  private final Map<Integer, List<Integer>> voidPositions = new HashMap<>(0);

  void add(ResultSpan span) {
    if (size == offsets.length) {
      offsets = Arrays.copyOf(offsets, size * 2);
      groups = Arrays.copyOf(groups, size * 2);
    }
    offsets[size] = span.offset();
    groups[size] = span.group();
    if (!span.voidPositions().isEmpty()) {
      voidPositions.put(size, span.voidPositions());
    }
    size++;
  }

  void move(long from, int group, long to) {
    for (int i = 0; i < size; i++) {
      if (offsets[i] == from && groups[i] == group) {
        offsets[i] = to;
      }
    }
  }

  ResultPage page(int cursor, int maxSpans) {
    int end = (int) Math.min(size, (long) cursor + maxSpans);
    List<ResultSpan> spans = new ArrayList<>();
    for (int i = cursor; i < end; i++) {
      spans.add(span(i));
    }
    return new ResultPage(spans, end < size ? Optional.of(end) : Optional.empty());
  }

  List<ResultSpan> all() {
    return page(0, size).spans();
  }

  LongStream offsets() {
    return Arrays.stream(offsets, 0, size);
  }

  private ResultSpan span(int index) {
    return new ResultSpan(
        offsets[index], groups[index], voidPositions.getOrDefault(index, List.of()));
  }
}

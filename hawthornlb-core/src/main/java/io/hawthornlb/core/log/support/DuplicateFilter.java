package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.WriterWindow;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.util.Checks;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Recognizes second occurrences of records, in bounded memory.
 *
 * <p>The filter keeps the last {@link #WINDOW} sequence numbers of each writer. A number below the
 * kept ones counts as a duplicate, because the records of one writer never overtake each other in a
 * stream by more than that. If there are more than {@link #MAX_WRITERS} writers, the filter removes
 * the writer whose last record is the oldest. Both rules depend only on the content of the stream,
 * so every instance drops the same records.
 */
final class DuplicateFilter {

  /** Number of sequence numbers kept for each writer. */
  static final int WINDOW = 64;

  /** Largest number of writers kept. */
  static final int MAX_WRITERS = 1_024;

  private final Map<InstanceId, Window> windows = new LinkedHashMap<>();

  /** Records the id of a record, and returns whether this is its first occurrence. */
  boolean isFirst(RecordId id) {
    Window window = windows.remove(id.writer());
    if (window == null) {
      window = new Window();
    }
    windows.put(id.writer(), window);
    dropWriters();
    return window.add(id.sequence());
  }

  /**
   * Returns the windows of all writers, ordered by the last record of each writer, the oldest
   * first.
   */
  List<WriterWindow> windows() {
    List<WriterWindow> copy = new ArrayList<>(windows.size());
    windows.forEach(
        (writer, window) -> copy.add(new WriterWindow(writer, window.floor, window.sequences())));
    return copy;
  }

  /** Replaces the state of the filter by the windows of a snapshot. */
  void install(List<WriterWindow> copy) {
    Checks.isTrue(copy.size() <= MAX_WRITERS, "too many writers in a snapshot");
    windows.clear();
    for (WriterWindow window : copy) {
      windows.put(window.writer(), new Window(window));
    }
  }

  private void dropWriters() {
    if (windows.size() > MAX_WRITERS) {
      Iterator<InstanceId> writers = windows.keySet().iterator();
      writers.next();
      writers.remove();
    }
  }

  /**
   * Sequence numbers in ascending order. They are kept in a plain array to save memory, because
   * there is a window for each writer in each stream.
   */
  private static final class Window {

    private static final int FIRST_CAPACITY = 4;

    private long[] sequences;
    private int size;
    private long floor = -1;

    Window() {
      this.sequences = new long[FIRST_CAPACITY];
    }

    Window(WriterWindow copy) {
      this.floor = copy.floor();
      this.sequences = copy.sequences().stream().mapToLong(Long::longValue).toArray();
      this.size = sequences.length;
    }

    boolean add(long sequence) {
      int index = Arrays.binarySearch(sequences, 0, size, sequence);
      if (sequence <= floor || index >= 0) {
        return false;
      }
      insert(-index - 1, sequence);
      if (size > WINDOW) {
        floor = sequences[0];
        size--;
        System.arraycopy(sequences, 1, sequences, 0, size);
      }
      return true;
    }

    List<Long> sequences() {
      return Arrays.stream(sequences, 0, size).boxed().toList();
    }

    private void insert(int index, long sequence) {
      if (size == sequences.length) {
        sequences = Arrays.copyOf(sequences, Math.min(2 * size + FIRST_CAPACITY, WINDOW + 1));
      }
      System.arraycopy(sequences, index, sequences, index + 1, size - index);
      sequences[index] = sequence;
      size++;
    }
  }
}

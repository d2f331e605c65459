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
 * Tells the second occurrence of a record from the first, in bounded memory.
 *
 * <p>Of each writer the last {@link #WINDOW} sequences are kept; anything below them counts as a
 * duplicate, because writers do not let records of one stream overtake each other by more. Writers
 * leave in the order of their last record once there are more than {@link #MAX_WRITERS}. Both
 * bounds follow from the content of the stream alone, so every instance drops the same records.
 */
final class DuplicateFilter {

  /** Sequences kept of each writer. */
  static final int WINDOW = 64;

  /** Writers kept. */
  static final int MAX_WRITERS = 1_024;

  private final Map<InstanceId, Window> windows = new LinkedHashMap<>();

  /** Notes a record; returns whether it is the first occurrence. */
  boolean isFirst(RecordId id) {
    Window window = windows.remove(id.writer());
    if (window == null) {
      window = new Window();
    }
    windows.put(id.writer(), window);
    dropWriters();
    return window.add(id.sequence());
  }

  /** Returns the windows, the writer that is silent for longest first. */
  List<WriterWindow> windows() {
    List<WriterWindow> copy = new ArrayList<>(windows.size());
    windows.forEach(
        (writer, window) -> copy.add(new WriterWindow(writer, window.floor, window.sequences())));
    return copy;
  }

  /** Replaces what was noted. */
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
   * Sequences in ascending order; a plain array, as there is a window for each writer and stream.
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
      int place = Arrays.binarySearch(sequences, 0, size, sequence);
      if (sequence <= floor || place >= 0) {
        return false;
      }
      insert(-place - 1, sequence);
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

    private void insert(int place, long sequence) {
      if (size == sequences.length) {
        sequences = Arrays.copyOf(sequences, Math.min(2 * size + FIRST_CAPACITY, WINDOW + 1));
      }
      System.arraycopy(sequences, place, sequences, place + 1, size - place);
      sequences[place] = sequence;
      size++;
    }
  }
}

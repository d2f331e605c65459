package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.runonce.KeyState;
import io.hawthornlb.core.runonce.OutcomeRead;
import io.hawthornlb.core.runonce.ReadOutcome;
import io.hawthornlb.core.runonce.RunOnceAnswer;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.RunOnceKey;
import io.hawthornlb.core.runonce.StopPoint;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Answers resends of completed requests with the results that are stored in the log. */
final class OutcomeReader {

  private final StreamName stream;
  private final Map<Long, List<Reader>> readers = new HashMap<>();
  private int size;

  OutcomeReader(StreamName stream) {
    this.stream = stream;
  }

  int size() {
    return size;
  }

  void read(Waiter waiter, RunOnceKey key, KeyState state, List<Effect> out) {
    List<Reader> waiting = readers.computeIfAbsent(state.offset(), id -> new ArrayList<>());
    if (waiting.isEmpty()) {
      out.add(new ReadOutcome(stream, state.offset()));
    }
    waiting.add(new Reader(waiter, key, state.position()));
    size++;
  }

  void answer(OutcomeRead read, List<Effect> out) {
    for (Reader reader : take(read.offset())) {
      out.add(reader.answer(read.entries().entries()));
    }
  }

  void unreadable(long offset, List<Effect> out) {
    take(offset).forEach(reader -> out.add(reader.waiter().stopped(StopPoint.RESULT_UNREADABLE)));
  }

  void stopExpired(Instant now, List<Effect> out) {
    for (List<Reader> waiting : readers.values()) {
      for (Reader reader : waiting) {
        if (reader.waiter().expired(now)) {
          out.add(reader.waiter().stopped(StopPoint.RESULT_UNREADABLE));
          size--;
        }
      }
      waiting.removeIf(reader -> reader.waiter().expired(now));
    }
    readers.values().removeIf(List::isEmpty);
  }

  private List<Reader> take(long offset) {
    List<Reader> waiting = readers.remove(offset);
    size -= waiting == null ? 0 : waiting.size();
    return waiting == null ? List.of() : waiting;
  }

  private record Reader(Waiter waiter, RunOnceKey key, int position) {

    private Effect answer(List<RunOnceEntry> entries) {
      boolean matches = position < entries.size() && entries.get(position).key().equals(key);
      return matches
          ? entries
              .get(position)
              .result()
              .map(result -> waiter.answer(RunOnceAnswer.of(result)))
              .orElseGet(() -> waiter.stopped(StopPoint.RESULT_UNREADABLE))
          : waiter.stopped(StopPoint.RESULT_UNREADABLE);
    }
  }
}

package io.hawthornlb.core.policy;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled events in order, in virtual time. */
final class EventQueue {

  private record Event(long at, long number, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private long micros;
  private long numbers;

  long micros() {
    return micros;
  }

  Instant now() {
    return Instant.EPOCH.plusNanos(micros * 1_000);
  }

  void after(long delayMicros, Runnable action) {
    events.add(new Event(micros + Math.max(0, delayMicros), numbers++, action));
  }

  void every(long periodMicros, Runnable action) {
    after(
        periodMicros,
        () -> {
          action.run();
          every(periodMicros, action);
        });
  }

  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.poll();
      micros = event.at();
      event.action().run();
    }
    micros = end;
  }
}

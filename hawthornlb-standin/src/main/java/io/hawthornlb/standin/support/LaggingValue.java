package io.hawthornlb.standin.support;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * A value whose changes become visible to readers only after a lag, like a report that takes time
 * to propagate. Thread-safe.
 *
 * @param <T> the type of the value, which must be immutable
 */
public final class LaggingValue<T> {

  private static final Duration MIN_INTERVAL = Duration.ofMillis(5);

  private final InstantSource clock;
  private final Supplier<Duration> lag;
  private final Deque<Dated<T>> history = new ArrayDeque<>();

  /** A value with the time from which it is valid. */
  public record Dated<T>(Instant asOf, T value) {}

  /** Creates an instance whose first value is visible at once. */
  public LaggingValue(T first, Duration lag, InstantSource clock) {
    this(first, () -> lag, clock);
  }

  /**
   * Creates an instance whose first value is visible at once. The lag is read at each access and
   * may change at any time.
   */
  public LaggingValue(T first, Supplier<Duration> lag, InstantSource clock) {
    this.clock = clock;
    this.lag = lag;
    history.add(new Dated<>(clock.instant().minus(lag.get()), first));
  }

  /**
   * Publishes a value that is valid from now on. If less than 5 ms have passed since the time of
   * the last published value, and that value is not the visible one, the new value replaces it and
   * takes over its time.
   */
  public synchronized void publish(T value) {
    Instant now = clock.instant();
    Dated<T> last = history.getLast();
    if (history.size() > 1 && Duration.between(last.asOf(), now).compareTo(MIN_INTERVAL) < 0) {
      history.removeLast();
      now = last.asOf();
    }
    history.addLast(new Dated<>(now, value));
    removeSuperseded();
  }

  /** Returns the newest value that is at least as old as the lag, with its time. */
  public synchronized Dated<T> visible() {
    removeSuperseded();
    return history.getFirst();
  }

  private void removeSuperseded() {
    Instant newestVisible = clock.instant().minus(lag.get());
    while (history.size() > 1 && !second().asOf().isAfter(newestVisible)) {
      history.removeFirst();
    }
  }

  private Dated<T> second() {
    var entries = history.iterator();
    entries.next();
    return entries.next();
  }
}

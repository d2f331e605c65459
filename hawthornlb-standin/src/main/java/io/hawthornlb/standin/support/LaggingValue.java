package io.hawthornlb.standin.support;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * A value whose readers see it only after a lag, as with reports that take time to spread.
 *
 * @param <T> the immutable value
 */
public final class LaggingValue<T> {

  private static final Duration GRAIN = Duration.ofMillis(5);

  private final InstantSource clock;
  private final Supplier<Duration> lag;
  private final Deque<Dated<T>> history = new ArrayDeque<>();

  /** A value with the time from which it holds. */
  public record Dated<T>(Instant asOf, T value) {}

  /** Starts with a value that holds from now, and which is visible at once. */
  public LaggingValue(T first, Duration lag, InstantSource clock) {
    this(first, () -> lag, clock);
  }

  /** Starts with a value that is visible at once; the lag may change at any time. */
  public LaggingValue(T first, Supplier<Duration> lag, InstantSource clock) {
    this.clock = clock;
    this.lag = lag;
    history.add(new Dated<>(clock.instant().minus(lag.get()), first));
  }

  /** Records the value of this moment; values closer than a few milliseconds replace each other. */
  public synchronized void publish(T value) {
    Instant now = clock.instant();
    Dated<T> last = history.getLast();
    if (history.size() > 1 && Duration.between(last.asOf(), now).compareTo(GRAIN) < 0) {
      history.removeLast();
      now = last.asOf();
    }
    history.addLast(new Dated<>(now, value));
    dropUnseen();
  }

  /** Returns the newest value that is at least as old as the lag, with its time. */
  public synchronized Dated<T> visible() {
    dropUnseen();
    return history.getFirst();
  }

  private void dropUnseen() {
    Instant horizon = clock.instant().minus(lag.get());
    while (history.size() > 1 && !second().asOf().isAfter(horizon)) {
      history.removeFirst();
    }
  }

  private Dated<T> second() {
    var entries = history.iterator();
    entries.next();
    return entries.next();
  }
}

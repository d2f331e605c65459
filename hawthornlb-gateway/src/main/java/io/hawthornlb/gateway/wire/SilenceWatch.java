package io.hawthornlb.gateway.wire;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Detects that the endpoint working on a request has become silent.
 *
 * <p>An endpoint or the network path to it may fail while a request is running. The connection
 * stays open, and only a timeout reveals the failure. The watch notifies its listener once of a
 * suspicious silence, and later of a silence after which the endpoint should be abandoned.
 *
 * <p>This process itself may also be paused, for lack of processor time or because it is frozen.
 * All endpoints then seem silent at once, because their responses were not read. The watch
 * therefore does not count the delay of its own timer as silence.
 */
public final class SilenceWatch {

  /**
   * Timer delay from which this process counts as paused; timers of a busy core are 10 to 50 ms
   * late.
   */
  private static final Duration PAUSE_THRESHOLD = Duration.ofMillis(100);

  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final Limits limits;
  private final Supplier<Instant> lastHeard;
  private final Listener listener;
  private @Nullable ScheduledFuture<?> timer;
  private Instant due = Instant.MAX;
  private Instant previousHeard = Instant.MIN;
  private Duration pauseTime = Duration.ZERO;

  /**
   * Durations of silence after which the listener is notified.
   *
   * @param suspicious silence after which other requests should be placed elsewhere
   * @param stalled silence after which the endpoint should be abandoned
   */
  public record Limits(Duration suspicious, Duration stalled) {}

  /** Receives notifications about a silent endpoint. */
  public interface Listener {

    /** Called when the endpoint has been silent for the suspicious time. */
    void suspicious(Duration silence);

    /** Called when the endpoint should be abandoned; returns whether to keep watching. */
    boolean stalled(Duration silence);
  }

  /**
   * Creates a watch.
   *
   * @param lastHeard supplies when the endpoint last sent data, or when the request was sent to it
   */
  public SilenceWatch(
      ScheduledExecutorService executor,
      InstantSource clock,
      Limits limits,
      Supplier<Instant> lastHeard,
      Listener listener) {
    this.executor = executor;
    this.clock = clock;
    this.limits = limits;
    this.lastHeard = lastHeard;
    this.listener = listener;
  }

  /** Starts watching; ends a watch that is running. */
  public void start() {
    stop();
    schedule(limits.suspicious());
  }

  /** Ends the watch. */
  public void stop() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
    due = Instant.MAX;
  }

  /**
   * Returns for how long the endpoint has been silent, without the time in which this process was
   * paused.
   */
  public Duration silence() {
    Instant now = clock.instant();
    Instant heard = lastHeard.get();
    return Duration.between(heard, now).minus(pausedTime(heard, now));
  }

  /**
   * Returns the part of the time since the endpoint was last heard in which this process was
   * paused.
   */
  private Duration pausedTime(Instant heard, Instant now) {
    Duration late = late(heard, now);
    if (late.compareTo(PAUSE_THRESHOLD) > 0) {
      // The start of the pause is unknown, so the endpoint gets the full time again.
      return Duration.between(heard, now);
    }
    return heard.equals(previousHeard) ? pauseTime.plus(late) : late;
  }

  /**
   * Returns by how much the next check is late, counted from the last data received if that is
   * later.
   */
  private Duration late(Instant heard, Instant now) {
    Instant from = heard.isAfter(due) ? heard : due;
    return now.isAfter(from) ? Duration.between(from, now) : Duration.ZERO;
  }

  /** Returns whether the endpoint has been silent for so long that it should be abandoned. */
  public boolean stalled() {
    return silence().compareTo(limits.stalled()) >= 0;
  }

  private void check() {
    timer = null;
    Duration silence = silence();
    recordDelay();
    if (silence.compareTo(limits.stalled()) >= 0) {
      if (listener.stalled(silence)) {
        schedule(limits.stalled());
      }
    } else if (silence.compareTo(limits.suspicious()) >= 0) {
      schedule(limits.stalled().minus(silence));
      listener.suspicious(silence);
    } else {
      schedule(limits.suspicious().minus(silence));
    }
  }

  private void recordDelay() {
    Instant heard = lastHeard.get();
    pauseTime = pausedTime(heard, clock.instant());
    previousHeard = heard;
    due = Instant.MAX;
  }

  private void schedule(Duration time) {
    // Rounded up, because a check that runs too early would report the same silence twice.
    long millis = Math.max(1, time.plusNanos(999_999).toMillis());
    due = clock.instant().plusMillis(millis);
    timer = executor.schedule(this::check, millis, TimeUnit.MILLISECONDS);
  }
}

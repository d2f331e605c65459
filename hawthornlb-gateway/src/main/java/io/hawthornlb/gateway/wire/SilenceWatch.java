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
 * Watches for silence of the endpoint that works on a request.
 *
 * <p>Failure: an endpoint or the way to it goes dark while a request is there. It shows as silence
 * on an open connection, which nothing but the time tells. Guard: whoever waits is told once of a
 * suspicious silence, and then of one after which the endpoint is to be left.
 */
public final class SilenceWatch {

  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final Limits limits;
  private final Supplier<Instant> lastHeard;
  private final Listener listener;
  private @Nullable ScheduledFuture<?> timer;

  /**
   * Silences that are told.
   *
   * @param suspicious silence after which others should be placed elsewhere
   * @param stalled silence after which the endpoint is to be left
   */
  public record Limits(Duration suspicious, Duration stalled) {}

  /** Is told of silences. */
  public interface Listener {

    /** Takes that the endpoint has been silent for a suspicious time. */
    void suspicious(Duration silence);

    /** Takes that the endpoint is to be left; returns whether to go on watching. */
    boolean stalled(Duration silence);
  }

  /**
   * Creates a watch.
   *
   * @param lastHeard when the endpoint was last heard, or asked
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

  /** Watches from now on; one watch at a time. */
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
  }

  /** Returns for how long the endpoint has been silent. */
  public Duration silence() {
    return Duration.between(lastHeard.get(), clock.instant());
  }

  /** Returns whether the endpoint has been silent for so long that it is to be left. */
  public boolean stalled() {
    return silence().compareTo(limits.stalled()) >= 0;
  }

  private void look() {
    timer = null;
    Duration silence = silence();
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

  private void schedule(Duration time) {
    long millis = Math.max(1, time.toMillis());
    timer = executor.schedule(this::look, millis, TimeUnit.MILLISECONDS);
  }
}

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
 *
 * <p>Failure: this process itself stands still, for want of processor time or frozen. It shows as
 * silence of all endpoints at once, whose answers it has not read. Guard: the time by which a look
 * comes late does not count as silence.
 */
public final class SilenceWatch {

  /** Delay of a look that is a standstill; timers of a busy core are 10 to 50 ms late. */
  private static final Duration STANDSTILL = Duration.ofMillis(100);

  private final ScheduledExecutorService executor;
  private final InstantSource clock;
  private final Limits limits;
  private final Supplier<Instant> lastHeard;
  private final Listener listener;
  private @Nullable ScheduledFuture<?> timer;
  private Instant due = Instant.MAX;
  private Instant heardBefore = Instant.MIN;
  private Duration heldUp = Duration.ZERO;

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
    due = Instant.MAX;
  }

  /** Returns for how long the endpoint has been silent while this process could hear it. */
  public Duration silence() {
    Instant now = clock.instant();
    Instant heard = lastHeard.get();
    return Duration.between(heard, now).minus(notCounted(heard, now));
  }

  /** Returns the time since the endpoint was heard in which this process could not hear it. */
  private Duration notCounted(Instant heard, Instant now) {
    Duration late = late(heard, now);
    if (late.compareTo(STANDSTILL) > 0) {
      // Nobody knows when the standstill began: the endpoint gets the whole time once more.
      return Duration.between(heard, now);
    }
    return heard.equals(heardBefore) ? heldUp.plus(late) : late;
  }

  /** Returns by how much the next look is late, as far as nothing was heard meanwhile. */
  private Duration late(Instant heard, Instant now) {
    Instant from = heard.isAfter(due) ? heard : due;
    return now.isAfter(from) ? Duration.between(from, now) : Duration.ZERO;
  }

  /** Returns whether the endpoint has been silent for so long that it is to be left. */
  public boolean stalled() {
    return silence().compareTo(limits.stalled()) >= 0;
  }

  private void look() {
    timer = null;
    Duration silence = silence();
    noteDelay();
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

  private void noteDelay() {
    Instant heard = lastHeard.get();
    heldUp = notCounted(heard, clock.instant());
    heardBefore = heard;
    due = Instant.MAX;
  }

  private void schedule(Duration time) {
    // Rounded up: a look that comes too early would tell of the same silence twice.
    long millis = Math.max(1, time.plusNanos(999_999).toMillis());
    due = clock.instant().plusMillis(millis);
    timer = executor.schedule(this::look, millis, TimeUnit.MILLISECONDS);
  }
}

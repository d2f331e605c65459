package io.hawthornlb.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;

/** Event loop and clock whose time is controlled by the test. */
public final class VirtualLoop implements InstantSource {

  private static final Duration STEP = Duration.ofMillis(1);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  /** Creates a loop whose time advances only on request. */
  public VirtualLoop() {
    channel.freezeTime();
  }

  /** Returns the loop. */
  public EventLoop loop() {
    return channel.eventLoop();
  }

  /**
   * Advances the time in steps of one millisecond, and runs the tasks that are due after each step.
   */
  public void advance(Duration time) {
    channel.runPendingTasks();
    for (Duration moved = Duration.ZERO; moved.compareTo(time) < 0; moved = moved.plus(STEP)) {
      now = now.plus(STEP);
      channel.advanceTimeBy(STEP.toMillis(), TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
      channel.runPendingTasks();
    }
  }

  /**
   * Advances the time in one step, as if the loop had been paused, and then runs the tasks that are
   * due.
   */
  public void advanceInOneStep(Duration time) {
    now = now.plus(time);
    channel.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    channel.runPendingTasks();
  }

  @Override
  public Instant instant() {
    return now;
  }
}

package io.hawthornlb.gateway.loop;

import io.netty.channel.IoHandlerContext;
import java.util.concurrent.TimeUnit;

/**
 * Rounds the time that an I/O handler waits for the next timer up to whole milliseconds.
 *
 * <p>The system waits for whole milliseconds, and the handler rounds the time until the timer to
 * the nearest one. While a timer is due in less than half a millisecond, the loop would select
 * repeatedly without waiting.
 */
final class WholeMillisContext implements IoHandlerContext {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final IoHandlerContext delegate;

  WholeMillisContext(IoHandlerContext delegate) {
    this.delegate = delegate;
  }

  @Override
  public boolean canBlock() {
    return delegate.canBlock();
  }

  @Override
  public long delayNanos(long currentTimeNanos) {
    long delay = delegate.delayNanos(currentTimeNanos);
    long excess = delay % MILLI;
    boolean whole = excess <= 0 || delay > Long.MAX_VALUE - MILLI;
    return whole ? delay : delay - excess + MILLI;
  }

  @Override
  public long deadlineNanos() {
    return delegate.deadlineNanos();
  }

  @Override
  public void reportActiveIoTime(long activeNanos) {
    delegate.reportActiveIoTime(activeNanos);
  }

  @Override
  public boolean shouldReportActiveIoTime() {
    return delegate.shouldReportActiveIoTime();
  }
}

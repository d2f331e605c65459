package io.hawthornlb.gateway.loop;

import io.netty.channel.IoHandlerContext;
import java.util.concurrent.TimeUnit;

/**
 * Lets a handler of events wait until a timer is due, and not shorter.
 *
 * <p>Failure: the system waits for whole milliseconds, and the time to a timer is rounded to the
 * nearest. It shows as a loop that asks for events again and again, without waiting, while a timer
 * is less than half a millisecond away. Guard: the time is rounded up.
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
    long beyond = delay % MILLI;
    boolean whole = beyond <= 0 || delay > Long.MAX_VALUE - MILLI;
    return whole ? delay : delay - beyond + MILLI;
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

package io.hawthornlb.gateway.loop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/**
 * Waits until timers are due and events have gathered, and passes them on to handles that keep
 * account of them.
 */
final class AccountedIoHandler implements IoHandler {

  private final IoHandler delegate;
  private final WorkAccount account;
  private final EventGathering gathering = new EventGathering(System.nanoTime());

  AccountedIoHandler(IoHandler delegate, WorkAccount account) {
    this.delegate = delegate;
    this.account = account;
  }

  @Override
  public void initialize() {
    delegate.initialize();
  }

  @Override
  public int run(IoHandlerContext context) {
    if (context.canBlock()) {
      rest(gathering.rest());
    }
    int handled = delegate.run(new WholeMillisContext(context));
    gathering.handled(handled, System.nanoTime());
    return handled;
  }

  private void rest(Duration time) {
    if (!time.isZero()) {
      account.begin(WorkKind.REST);
      LockSupport.parkNanos(time.toNanos());
      account.begin(WorkKind.SELECT);
    }
  }

  @Override
  public void prepareToDestroy() {
    delegate.prepareToDestroy();
  }

  @Override
  public void destroy() {
    delegate.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return delegate.register(new AccountedHandle((NioIoHandle) handle, account));
  }

  @Override
  public void wakeup() {
    delegate.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> handleType) {
    return delegate.isCompatible(handleType);
  }
}

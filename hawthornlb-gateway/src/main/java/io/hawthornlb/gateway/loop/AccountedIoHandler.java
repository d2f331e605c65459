package io.hawthornlb.gateway.loop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;

/**
 * I/O handler that accounts the events of its channels and waits for timers in whole milliseconds.
 */
final class AccountedIoHandler implements IoHandler {

  private final IoHandler delegate;
  private final WorkAccount account;

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
    return delegate.run(new WholeMillisContext(context));
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

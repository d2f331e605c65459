package io.hawthornlb.gateway.loop;

import io.netty.channel.IoEvent;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoEvent;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoOps;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.ServerSocketChannel;

/** Accounts the events of one channel. */
final class AccountedHandle implements NioIoHandle {

  private final NioIoHandle delegate;
  private final WorkAccount account;
  private final WorkKind kind;

  AccountedHandle(NioIoHandle delegate, WorkAccount account) {
    this.delegate = delegate;
    this.account = account;
    this.kind = kind(delegate.selectableChannel());
  }

  private static WorkKind kind(SelectableChannel channel) {
    if (channel instanceof ServerSocketChannel) {
      return WorkKind.ACCEPT;
    }
    return channel instanceof DatagramChannel ? WorkKind.DATAGRAM : WorkKind.OTHER;
  }

  @Override
  public void handle(IoRegistration registration, IoEvent event) {
    account.begin(isConnectEvent(event) ? WorkKind.CONNECT : kind);
    delegate.handle(registration, event);
    account.begin(WorkKind.LOOP);
  }

  private static boolean isConnectEvent(IoEvent event) {
    return event instanceof NioIoEvent nio && nio.ops().contains(NioIoOps.CONNECT);
  }

  @Override
  public SelectableChannel selectableChannel() {
    return delegate.selectableChannel();
  }

  @Override
  public void registered() {
    delegate.registered();
  }

  @Override
  public void unregistered() {
    delegate.unregistered();
  }

  @Override
  public void close() throws Exception {
    delegate.close();
  }
}

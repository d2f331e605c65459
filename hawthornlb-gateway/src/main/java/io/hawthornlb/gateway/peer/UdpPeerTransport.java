package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.decode.UnreadableRecords;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.loop.Listening;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Sends each message as a UDP datagram. */
public final class UdpPeerTransport implements PeerTransport {

  private final Channel channel;
  private final String self;
  private final EventLog log;
  private final UnreadableRecords foreign;
  private final GenericFutureListener<Future<Void>> sendListener = this::logUnsent;
  private final List<Consumer<PeerCodec.Envelope>> receivers = new ArrayList<>();

  /** Binds a socket and starts receiving. */
  public UdpPeerTransport(
      EventLoop loop, InetSocketAddress address, String self, InstantSource clock, EventLog log) {
    this.self = self;
    this.log = log;
    this.foreign = new UnreadableRecords(log, clock, "peer", "datagram.foreign", "from");
    Bootstrap socket =
        new Bootstrap().group(loop).channelFactory(NioDatagramChannel::new).handler(new Receiver());
    this.channel = Listening.await(socket.bind(address), address, "datagrams of other instances");
  }

  @Override
  public void send(GatewayInstance to, PeerMessage message) {
    byte[] bytes = PeerCodec.encode(new PeerCodec.Envelope(self, message));
    channel
        .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to.address()))
        .addListener(sendListener);
  }

  /**
   * Logs a datagram that could not be sent. The sender of the message detects the missing reply
   * itself.
   */
  private void logUnsent(Future<?> sent) {
    if (!sent.isSuccess()) {
      log.routine("peer", "datagram.unsent").with("cause", String.valueOf(sent.cause())).write();
    }
  }

  @Override
  public void onMessage(Consumer<PeerCodec.Envelope> receiver) {
    receivers.add(receiver);
  }

  /** Decodes datagrams. */
  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      try {
        PeerCodec.Envelope envelope = PeerCodec.decode(ByteBufUtil.getBytes(packet.content()));
        receivers.forEach(receiver -> receiver.accept(envelope));
      } catch (UnreadableException e) {
        foreign.report(String.valueOf(packet.sender().getAddress()), e);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof IOException) {
        // A port without a listener causes this exception. The sender detects the missing reply by
        // a timeout.
        log.routine("peer", "datagram.failed").with("cause", cause.toString()).write();
      } else {
        log.important("peer", "message.failed").with("cause", String.valueOf(cause)).write();
      }
    }
  }
}

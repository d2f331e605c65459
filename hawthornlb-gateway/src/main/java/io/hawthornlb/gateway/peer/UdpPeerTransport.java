package io.hawthornlb.gateway.peer;

import io.hawthornlb.gateway.event.EventLog;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.UncheckedIOException;
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
  private final List<Consumer<PeerCodec.Envelope>> receivers = new ArrayList<>();

  /** Binds a socket and starts to receive. */
  public UdpPeerTransport(
      EventLoop loop, InetSocketAddress address, String self, InstantSource clock, EventLog log) {
    this.self = self;
    this.log = log;
    this.channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver())
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  @Override
  public void send(GatewayInstance to, PeerMessage message) {
    byte[] bytes = PeerCodec.encode(new PeerCodec.Envelope(self, message));
    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to.address()));
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
      } catch (UncheckedIOException e) {
        log.important("peer", "datagram.foreign")
            .with("from", String.valueOf(packet.sender()))
            .with("cause", e.getMessage())
            .write();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // A port without a listener answers with an error; the missing reply is noticed by a timeout.
      log.routine("peer", "datagram.failed").with("cause", String.valueOf(cause)).write();
    }
  }
}

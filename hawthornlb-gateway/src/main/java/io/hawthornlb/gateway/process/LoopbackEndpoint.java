package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.wire.HeaderNames;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Endpoint on loopback that answers each request with a short event stream. */
final class LoopbackEndpoint {

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int EVENTS = 3;

  /**
   * Pause between events; with it, a response takes longer than the interval at which gateways
   * renew their uses of slots.
   */
  private static final int PAUSE_MILLIS = 400;

  private final HeaderNames names;
  private final InetSocketAddress address;

  LoopbackEndpoint(EventLoopGroup loop, HeaderNames names) {
    this.names = names;
    Channel channel =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(NioServerSocketChannel::new)
            .childHandler(new Pipeline())
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .syncUninterruptibly()
            .channel();
    this.address = (InetSocketAddress) channel.localAddress();
  }

  InetSocketAddress address() {
    return address;
  }

  /** Sets up the channel pipeline of a connection. */
  private final class Pipeline extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel channel) {
      channel.pipeline().addLast(new HttpServerCodec());
      channel.pipeline().addLast(new HttpObjectAggregator(MAX_BODY_BYTES));
      channel.pipeline().addLast(new ResponseHandler());
    }
  }

  /** Answers a request with an event stream. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      HttpUtil.setTransferEncodingChunked(head, true);
      head.headers().set(names.requestId(), request.headers().get(names.requestId(), ""));
      head.headers().set(names.signature(), "loopback");
      ctx.write(head);
      writeFrom(ctx, request.headers().getInt(names.lastEventId(), 0) + 1);
    }

    private void writeFrom(ChannelHandlerContext ctx, int id) {
      if (id > EVENTS) {
        ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        return;
      }
      byte[] event = ("id: " + id + "\ndata: text\n\n").getBytes(StandardCharsets.UTF_8);
      ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(event)));
      ctx.executor().schedule(() -> writeFrom(ctx, id + 1), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}

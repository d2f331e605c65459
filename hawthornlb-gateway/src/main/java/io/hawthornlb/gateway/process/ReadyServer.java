package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.loop.Listening;
import io.hawthornlb.gateway.metric.MetricsText;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/** Serves the readiness check of the load balancer, and the metrics. */
final class ReadyServer {

  private static final String METRICS_PATH = "/metrics";

  private final BooleanSupplier ready;
  private final MetricsText metrics;
  private final EventLog log;

  ReadyServer(BooleanSupplier ready, MetricsText metrics, EventLog log) {
    this.ready = ready;
    this.metrics = metrics;
    this.log = log;
  }

  void bind(EventLoopGroup loop, InetSocketAddress address) {
    ServerBootstrap server =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(NioServerSocketChannel::new)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(new Pipeline());
    Listening.await(server.bind(address), address, "readiness and metrics");
  }

  /** Sets up the channel pipeline of a connection. */
  private final class Pipeline extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel channel) {
      channel.pipeline().addLast(new HttpServerCodec());
      channel.pipeline().addLast(new ResponseHandler());
    }
  }

  /** Answers each request from the current state, without reading a request body. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<HttpRequest> {

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpRequest request) {
      FullHttpResponse response =
          request.uri().startsWith(METRICS_PATH) ? metricsResponse() : readinessResponse();
      int length = response.content().readableBytes();
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
      var written = ctx.writeAndFlush(response);
      if (!HttpUtil.isKeepAlive(request)) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    private FullHttpResponse readinessResponse() {
      HttpResponseStatus status =
          ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
      return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    }

    private FullHttpResponse metricsResponse() {
      byte[] text = metrics.write().getBytes(StandardCharsets.UTF_8);
      return new DefaultFullHttpResponse(
          HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(text));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // The load balancer repeats its check after a second.
      log.routine("process", "ready.failed").with("cause", cause.toString()).write();
      ctx.close();
    }
  }
}

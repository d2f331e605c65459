package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Opens more connections to one server than it can serve, as a balancer may do for seconds. */
class CrowdedFrontTest {

  /** Processor time of one request. */
  private static final Duration WORK = Duration.ofMillis(4);

  private static final Duration LOAD_TIME = Duration.ofSeconds(4);

  /** Time after which the server must cope with the load. */
  private static final Duration TIME_TO_COPE = Duration.ofSeconds(2);

  /** Time after which a caller leaves. */
  private static final Duration PATIENCE = Duration.ofMillis(500);

  /** Connections that are opened each time, twice as many as the server can serve. */
  private static final int CONNECTIONS = 10;

  private static final Duration INTERVAL = Duration.ofMillis(20);

  /** Share of the requests that the server has read which it must answer in time. */
  private static final double ANSWERED = 0.75;

  private final EventLoop loop = newLoop();
  private final EventLoop callers = newLoop();
  private final Set<String> read = ConcurrentHashMap.newKeySet();
  private final Set<String> answered = ConcurrentHashMap.newKeySet();
  private InetSocketAddress address;
  private int numbers;

  private static EventLoop newLoop() {
    return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  }

  @BeforeEach
  void start() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
    new FrontServer(
            this::answer,
            new ConfigHolder(),
            new ConfigFreshness(new UnprovenLog(), Duration.ofSeconds(2), loop),
            InstantSource.system(),
            new RecordingEventLog())
        .bind(loop, address);
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    callers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private RequestHandler.Handling answer(FrontRequest request, Responder responder) {
    read.add(request.uri());
    long end = System.nanoTime() + WORK.toNanos();
    while (System.nanoTime() < end) {
      Thread.onSpinWait();
    }
    responder.whole(200, new DefaultHttpHeaders(), new byte[] {1});
    return () -> {};
  }

  /** Guards against a server that reads more requests than it can answer before callers leave. */
  @Test
  void answersWhatItReadsWhileMostNewConnectionsComeHere() throws Exception {
    long loads = LOAD_TIME.dividedBy(INTERVAL);
    int countedFrom = 0;
    for (long i = 0; i < loads; i++) {
      if (i == TIME_TO_COPE.dividedBy(INTERVAL)) {
        countedFrom = numbers;
      }
      for (int k = 0; k < CONNECTIONS; k++) {
        call();
      }
      Thread.sleep(INTERVAL.toMillis());
    }
    Thread.sleep(PATIENCE.toMillis());
    int from = countedFrom;
    long counted = read.stream().filter(uri -> number(uri) >= from).count();
    long inTime = answered.stream().filter(uri -> number(uri) >= from).count();
    String figures = inTime + " of " + counted + " requests that were read of " + (numbers - from);
    System.out.println(figures);
    assertTrue(inTime >= ANSWERED * counted, figures);
    assertTrue(inTime >= 100, figures);
  }

  private static int number(String uri) {
    return Integer.parseInt(uri.substring(1));
  }

  private void call() {
    String uri = "/" + numbers;
    numbers++;
    new Bootstrap()
        .group(callers)
        .channelFactory(NioSocketChannel::new)
        .handler(new CallerPipeline(uri))
        .connect(address);
  }

  /** Sets up a connection that sends one request and is closed when its caller leaves. */
  private final class CallerPipeline extends ChannelInitializer<Channel> {

    private final String uri;

    private CallerPipeline(String uri) {
      this.uri = uri;
    }

    @Override
    protected void initChannel(Channel channel) {
      channel.pipeline().addLast(new Caller(uri));
      callers.schedule(() -> channel.close(), PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** A caller that waits for the first bytes of its answer. */
  private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {

    private final String uri;

    private Caller(String uri) {
      this.uri = uri;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      String request = "GET " + uri + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
      ctx.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      answered.add(uri);
      ctx.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}

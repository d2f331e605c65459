package io.hawthornlb.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class NettyHttpCallerTest {

  private static final int BACKLOG = 5;

  private final ServerSocket server =
      new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final NettyHttpCaller caller = new NettyHttpCaller(loop);

  NettyHttpCallerTest() throws IOException {}

  @AfterEach
  void end() throws IOException {
    server.close();
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** What is cut may be called again on a new connection; what stays silent has taken its time. */
  @Test
  void tellsAClosedConnectionFromASilentOne() throws Exception {
    assertEquals(true, failureOf(Duration.ofSeconds(10), true).cut());
    assertEquals(false, failureOf(Duration.ofMillis(100), false).cut());
  }

  private HttpCallException failureOf(Duration timeout, boolean closes) throws Exception {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
    HttpCall call = new HttpCall(address, "GET", "/", Map.of(), new byte[0], timeout);
    var reply = caller.call(call).toCompletableFuture();
    try (Socket connection = server.accept()) {
      connection.getInputStream().read();
      if (closes) {
        connection.close();
      }
      ExecutionException failure =
          assertThrows(ExecutionException.class, () -> reply.get(10, TimeUnit.SECONDS));
      return assertInstanceOf(HttpCallException.class, failure.getCause());
    }
  }
}

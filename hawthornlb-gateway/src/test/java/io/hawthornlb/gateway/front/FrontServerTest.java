package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Covers what callers observe of connections that the server closes. */
class FrontServerTest {

  /** Size of a response that exceeds any socket buffer of the system, in bytes. */
  private static final int LARGE = 32 * 1024 * 1024;

  private static final int SMALL_WINDOW = 4_096;

  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final CountDownLatch answered = new CountDownLatch(1);
  private InetSocketAddress address;
  private FrontServer server;

  @BeforeEach
  void start() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
    server =
        new FrontServer(
            this::answer,
            new ConfigHolder(),
            new ConfigFreshness(new UnprovenLog(), Duration.ofSeconds(2), loop),
            InstantSource.system(),
            new RecordingEventLog());
    server.bind(loop, address);
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private RequestHandler.Handling answer(FrontRequest request, Responder responder) {
    responder.whole(200, new DefaultHttpHeaders(), new byte[LARGE]);
    answered.countDown();
    return () -> {};
  }

  /**
   * Guards against a truncated response when the gateway stops while a caller reads over a slow
   * network. The response was complete in the gateway but not yet written, and the server closed
   * the connection as idle.
   */
  @Test
  void sendsTheCompleteResponseBeforeClosingTheConnection() throws Exception {
    try (Socket caller = sendRequestWithSmallWindow()) {
      loop.submit(server::drain).sync();
      loop.submit(server::stopAccepting).sync();
      assertEquals(LARGE, GatewayFixture.read(caller).body().length());
    }
  }

  /**
   * Guards against a truncated response when the process exits. While part of the response was not
   * yet written, no request counted as being handled, so the process did not wait.
   */
  @Test
  void countsARequestUntilItsResponseIsWritten() throws Exception {
    try (Socket caller = sendRequestWithSmallWindow()) {
      assertEquals(1, loop.submit(server::active).get());
      assertEquals(LARGE, GatewayFixture.read(caller).body().length());
    }
  }

  private Socket sendRequestWithSmallWindow() throws Exception {
    Socket caller = new Socket();
    caller.setReceiveBufferSize(SMALL_WINDOW);
    caller.setSoTimeout(10_000);
    caller.connect(address);
    caller
        .getOutputStream()
        .write(
            "GET /a/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                .getBytes(StandardCharsets.UTF_8));
    answered.await(5, TimeUnit.SECONDS);
    return caller;
  }
}

package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.SilentEventLog;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.store.LogFreshness;
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
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What callers see of connections that a server closes. */
class FrontServerTest {

  /** Bytes of an answer that no buffer of the system takes at once. */
  private static final int LARGE = 32 * 1024 * 1024;

  private static final int SMALL_WINDOW = 4_096;

  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final CountDownLatch answered = new CountDownLatch(1);
  private InetSocketAddress address;
  private FrontServer server;

  /** Proof of a log that was never read. */
  private static final class NoProof implements LogFreshness {

    @Override
    public Instant freshAsOf() {
      return Instant.MIN;
    }

    @Override
    public CompletionStage<Void> refresh() {
      return CompletableFuture.failedFuture(new IllegalStateException("no log"));
    }
  }

  @BeforeEach
  void start() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
    server =
        new FrontServer(
            this::answer,
            new ConfigHolder(),
            new ConfigCheck(new NoProof(), Duration.ofSeconds(2), loop),
            InstantSource.system(),
            new SilentEventLog());
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
   * A caller that reads a page of results over a slow line gets half of it when the gateway stops.
   * The answer was complete on the side of the gateway but had not left it yet, and its connection
   * was closed as one on which nothing is being handled.
   */
  @Test
  void sendsAnAnswerWholeBeforeItClosesTheConnection() throws Exception {
    try (Socket caller = askWithSmallWindow()) {
      loop.submit(server::drain).sync();
      loop.submit(server::stopAccepting).sync();
      assertEquals(LARGE, GatewayFixture.read(caller).body().length());
    }
  }

  /**
   * The same caller gets half of its page because the process ends: while the rest had not left, no
   * request counted as being handled, so that the process did not wait.
   */
  @Test
  void countsARequestUntilItsAnswerHasLeft() throws Exception {
    try (Socket caller = askWithSmallWindow()) {
      assertEquals(1, loop.submit(server::active).get());
      assertEquals(LARGE, GatewayFixture.read(caller).body().length());
    }
  }

  private Socket askWithSmallWindow() throws Exception {
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

package io.hawthornlb.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class NettyHttpCallerTest {

  private static final int BACKLOG = 5;

  /** Time between an interim reply and the final reply. */
  private static final int INTERIM_MILLIS = 50;

  /** Time within which the next call must open another connection. */
  private static final int ACCEPT_MILLIS = 2_000;

  /** Size of a body that exceeds the buffers of a socket that nobody reads, in bytes. */
  private static final int LARGE_BYTES = 32 * 1024 * 1024;

  private static final String DONE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

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

  /**
   * A call whose connection closed may be repeated on a new connection; a call without a reply has
   * used up its time.
   */
  @Test
  void distinguishesAClosedConnectionFromASilentOne() throws Exception {
    assertEquals(true, failureOf(Duration.ofSeconds(10), true).closedWithoutReply());
    assertEquals(false, failureOf(Duration.ofMillis(100), false).closedWithoutReply());
  }

  /**
   * Guards against an interim reply that ends a call: a job that had been stored was reported as
   * refused.
   */
  @ParameterizedTest
  @ValueSource(ints = {100, 102, 103})
  void waitsForTheFinalReplyAfterAnInterimOne(int status) throws Exception {
    CompletableFuture<HttpReply> reply = call(Duration.ofSeconds(10));
    try (Socket connection = server.accept()) {
      connection.getInputStream().read();
      send(connection, "HTTP/1.1 " + status + " Wait\r\n\r\n");
      Thread.sleep(INTERIM_MILLIS);
      send(connection, DONE);
      assertEquals(200, reply.get(10, TimeUnit.SECONDS).status());
    }
  }

  /**
   * Guards against a second reply to one call that is taken for the reply to the next call: a job
   * was reported as accepted and was lost.
   */
  @Test
  void doesNotTakeASecondReplyForThatOfTheNextCall() throws Exception {
    CompletableFuture<HttpReply> next =
        call(Duration.ofSeconds(10)).thenCompose(first -> call(Duration.ofSeconds(10)));
    try (Socket connection = server.accept()) {
      connection.getInputStream().read();
      send(connection, DONE + DONE);
      server.setSoTimeout(ACCEPT_MILLIS);
      try (Socket another = server.accept()) {
        another.getInputStream().read();
        send(another, DONE.replace("200 OK", "503 Busy"));
        assertEquals(503, next.get(10, TimeUnit.SECONDS).status());
      }
    }
  }

  /**
   * Guards against a call that never gets a reply because it was sent on the connection of a large
   * call that was refused unread and is still being written.
   */
  @Test
  void reusesNoConnectionWhileACallIsBeingWritten() throws Exception {
    CompletableFuture<HttpReply> large = call(new byte[LARGE_BYTES], Duration.ofSeconds(10));
    try (Socket connection = server.accept()) {
      connection.getInputStream().read();
      send(connection, DONE.replace("200 OK", "503 Busy"));
      assertEquals(503, large.get(10, TimeUnit.SECONDS).status());
      CompletableFuture<HttpReply> next = call(Duration.ofSeconds(10));
      server.setSoTimeout(ACCEPT_MILLIS);
      try (Socket another = server.accept()) {
        another.getInputStream().read();
        send(another, DONE);
        assertEquals(200, next.get(10, TimeUnit.SECONDS).status());
      }
    }
  }

  /** Guards against an acknowledgement or a refusal that is taken from a broken reply. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000 OK",
        "+200 OK",
        "0503 Busy",
        "600 Any",
        "200 OK\r\nX Y: v",
        "429 Busy\r\nX : v"
      })
  void takesNoReplyThatIsNoneOfHttp(String status) throws Exception {
    CompletableFuture<HttpReply> reply = call(Duration.ofSeconds(10));
    try (Socket connection = server.accept()) {
      connection.getInputStream().read();
      send(connection, DONE.replace("200 OK", status));
      assertEquals(false, failureOf(reply).unsent());
    }
  }

  /** Guards against an acknowledgement in part of a reply that a reset cuts off. */
  @ParameterizedTest
  @ValueSource(ints = {0, LARGE_BYTES})
  void takesNoPartOfAReplyThatAResetCutsOff(int upload) throws Exception {
    CompletableFuture<HttpReply> reply = call(new byte[upload], Duration.ofSeconds(10));
    try (Socket connection = server.accept()) {
      connection.getInputStream().read();
      send(connection, "HTTP/1.1 200 OK\r\n\r\npart");
      Thread.sleep(INTERIM_MILLIS);
      connection.setSoLinger(true, 0);
    }
    assertEquals(true, failureOf(reply).closedWithoutReply());
  }

  @Test
  void takesAReplyThatEndsWithItsConnection() throws Exception {
    CompletableFuture<HttpReply> next =
        call(Duration.ofSeconds(10)).thenCompose(first -> call(Duration.ofSeconds(10)));
    for (int i = 0; i < 2; i++) {
      try (Socket connection = server.accept()) {
        ScriptedEndpoint.read(connection.getInputStream());
        send(connection, "HTTP/1.1 200 OK\r\n\r\nwhole");
      }
    }
    assertEquals(5, next.get(10, TimeUnit.SECONDS).body().length);
  }

  private CompletableFuture<HttpReply> call(Duration timeout) {
    return call(new byte[0], timeout);
  }

  private CompletableFuture<HttpReply> call(byte[] body, Duration timeout) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
    HttpCall call = new HttpCall(address, "POST", "/", Map.of(), body, timeout);
    return caller.call(call).toCompletableFuture();
  }

  private static void send(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    connection.getOutputStream().flush();
  }

  private HttpCallException failureOf(Duration timeout, boolean closes) throws Exception {
    CompletableFuture<HttpReply> reply = call(timeout);
    try (Socket connection = server.accept()) {
      connection.getInputStream().read();
      if (closes) {
        connection.close();
      }
      return failureOf(reply);
    }
  }

  private static HttpCallException failureOf(CompletableFuture<HttpReply> reply) {
    ExecutionException failure =
        assertThrows(ExecutionException.class, () -> reply.get(10, TimeUnit.SECONDS));
    return assertInstanceOf(HttpCallException.class, failure.getCause());
  }
}

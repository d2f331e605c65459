package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.ScriptedEndpoint.After;
import io.hawthornlb.gateway.front.GatewayFixture.Answer;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class SmuggledRequestTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\nContent-Length: 0\r\n\r\n";
  private static final String INNER =
      "POST /a/inner HTTP/1.1\r\nHost: h.example\r\nTest-Id: inner\r\nContent-Length: 0\r\n\r\n";
  private static final String LAST =
      "POST /a/last HTTP/1.1\r\nHost: h.example\r\nTest-Id: last\r\nContent-Length: 0\r\n"
          + "Connection: close\r\n\r\n";

  /** Requests with another one where their bodies are due, and whether their caller goes on. */
  static Stream<String> outer() {
    String chunk = Integer.toHexString(INNER.length()) + "\r\n" + INNER + "\r\n0\r\n\r\n";
    return Stream.of(
        head("/a/", "Content-Length: " + INNER.length()) + INNER,
        head("/a/", "Content-Length: 5000") + INNER,
        head("/nowhere/", "Content-Length: " + INNER.length()) + INNER,
        head("/a/", "Transfer-Encoding: chunked") + chunk,
        head("/nowhere/", "Transfer-Encoding: chunked") + chunk,
        head("/a/", "Transfer-Encoding: chunked\r\nContent-Length: 4") + chunk,
        head("/a/", "Content-Length: 4\r\nTransfer-Encoding: chunked") + chunk,
        head("/a/", "Transfer-Encoding: xchunked\r\nContent-Length: " + INNER.length()) + INNER,
        head("/a/", "Transfer-Encoding: chunked, identity") + chunk,
        head("/a/", "Content-Length: 4\r\nContent-Length: " + INNER.length()) + INNER,
        head("/a/", "Content-Length: " + 6_000) + INNER + "x".repeat(6_000 - INNER.length()),
        head("/a/", "Transfer-Encoding: chunked") + "zz\r\n" + INNER,
        head("/a/", "Transfer-Encoding: chunked") + "2;a\nb\r\nxx\r\n0\r\n\r\n" + INNER,
        head("/a/", "Expect: 100-continue\r\nContent-Length: " + INNER.length()) + INNER,
        "GARBAGE\r\n\r\n" + INNER);
  }

  private static String head(String path, String framing) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: h.example\r\nTest-Id: outer\r\n"
        + framing
        + "\r\n\r\n";
  }

  /** Guards against a request that stands in another one's body and runs by itself. */
  @ParameterizedTest
  @MethodSource("outer")
  void runsNoRequestThatStandsInAnotherOne(String outer) throws IOException {
    try (GatewayFixture gateway = new GatewayFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.whenever("", OK, After.KEEP);
      gateway.route(RouteKind.IDEMPOTENT, 1, false, endpoint);
      try (Socket caller = gateway.raw(outer + LAST)) {
        caller.setSoTimeout(1_500);
        GatewayFixture.read(caller);
      }
      assertEquals(200, gateway.call("/a/", "x").status());
      assertEquals(
          List.of(),
          endpoint.requests().stream().filter(each -> each.startsWith("POST /a/inner")).toList());
    }
  }

  /** Guards against the bytes of another request where an endpoint still reads a long body. */
  @Test
  void sendsNothingElseWhereTheRestOfABodyIsDue() throws IOException {
    String body = "y".repeat(4_500);
    List<String> bodies = new ArrayList<>();
    CountDownLatch second = new CountDownLatch(1);
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        GatewayFixture gateway = new GatewayFixture()) {
      InetSocketAddress address =
          new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
      Thread thread = new Thread(() -> answerEarly(server, bodies, second), "early-endpoint");
      thread.setDaemon(true);
      thread.start();
      gateway.route(RouteKind.ONCE, 1, false, false, address);
      Answer early = gateway.call("/a/", body);
      assertEquals(500, early.status());
      gateway.open("/a/", "x".repeat(body.length())).close();
      second.countDown();
      Awaitility.await().until(() -> !bodies.isEmpty());
      assertEquals(body, bodies.get(0));
    }
  }

  /** Answers the first request by its head, and reads its body later. */
  private static void answerEarly(ServerSocket server, List<String> bodies, CountDownLatch second) {
    try (Socket socket = server.accept()) {
      InputStream in = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) in.read());
      }
      String answer =
          "HTTP/1.1 500 Early\r\nTest-Id: id-1\r\nTest-Signature: s\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      second.await();
      bodies.add(new String(in.readNBytes(4_500), StandardCharsets.US_ASCII));
    } catch (IOException e) {
      bodies.add("broken: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

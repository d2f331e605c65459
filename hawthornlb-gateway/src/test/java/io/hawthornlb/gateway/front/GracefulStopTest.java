package io.hawthornlb.gateway.front;

import static io.hawthornlb.gateway.ScriptedEndpoint.After.KEEP;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.WAIT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.front.GatewayFixture.Answer;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Covers what callers observe of a process that was told to stop. */
class GracefulStopTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\n";
  private static final String OK = HEAD + "Content-Length: 4\r\n\r\nbody";
  private static final String FIRST_EVENT =
      HEAD + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
  private static final String END = "0\r\n\r\n";

  /** Timeout of a request that exceeds the duration of a whole shutdown. */
  private static final Duration LONG = Duration.ofSeconds(6);

  private ScriptedEndpoint endpoint;

  @BeforeEach
  void start() throws IOException {
    endpoint = new ScriptedEndpoint();
  }

  @AfterEach
  void stop() throws IOException {
    endpoint.close();
  }

  /**
   * Guards against a request on a kept-alive connection that is cut off by a gateway restart. The
   * head of the previous stream was sent before the stop signal, and so did not tell the caller to
   * close. The last event of that stream came after the idle connections had been closed. The next
   * request arrived 7.19 s after the signal, reached an endpoint at 7.29 s and was cut off at 7.39
   * s, when the process ended.
   */
  @Test
  void closesAConnectionWhoseStreamStartedBeforeTheStop() throws Exception {
    try (GatewayFixture gateway = new GatewayFixture()) {
      CountDownLatch late = new CountDownLatch(1);
      endpoint.then(FIRST_EVENT, late, END, KEEP).then(FIRST_EVENT, WAIT).then(FIRST_EVENT, WAIT);
      gateway.timeout(LONG).route(RouteKind.STREAM, 1, false, endpoint);
      try (Socket caller = gateway.raw(GatewayFixture.keptRequest("/a/", "x"))) {
        readUntil(caller, "data: a");
        try (Socket other = gateway.open("/a/", "z")) {
          readUntil(other, "data: a");
          gateway.stop();
          awaitEvent(gateway, "process.accepts.no.more");
          late.countDown();
          readUntil(caller, END);
          send(caller, GatewayFixture.keptRequest("/a/", "y"));
          assertEquals(0, GatewayFixture.read(caller).status());
          assertEquals(2, endpoint.requests().size());
        }
      }
    }
  }

  /**
   * Guards against a slowly uploaded request that is cut off. Its head arrived before the stop
   * signal, and the end of its body just before the process ended, which left no time to run it.
   * The caller must be told at once that the request has not run.
   */
  @Test
  void refusesARequestThatCompletesTooLate() throws Exception {
    try (GatewayFixture gateway = new GatewayFixture()) {
      endpoint.then(OK, KEEP);
      gateway.route(RouteKind.ONCE, 1, false, endpoint);
      String request = GatewayFixture.keptRequest("/a/", "slow");
      try (Socket caller = gateway.raw(request.substring(0, request.length() - 1))) {
        gateway.stop();
        awaitEvent(gateway, "process.accepts.no.more");
        send(caller, request.substring(request.length() - 1));
        Answer answer = GatewayFixture.read(caller);
        assertEquals(503, answer.status());
        assertTrue(answer.head().toLowerCase().contains("retry-after: 0."), answer.head());
        assertTrue(endpoint.requests().isEmpty());
      }
    }
  }

  /**
   * Guards against a caller that waits until its own timeout for a response that will not come. Its
   * request ran at a slow endpoint when the process ended, and the connection broke without a
   * response.
   */
  @Test
  void answersUnfinishedRequestsBeforeTheProcessEnds() throws Exception {
    Duration stopTime = Duration.ofMillis(1_500);
    try (GatewayFixture gateway = new GatewayFixture(stopTime)) {
      endpoint.then("", WAIT);
      gateway.timeout(LONG).route(RouteKind.ONCE, 1, false, endpoint);
      try (Socket caller = gateway.raw(GatewayFixture.keptRequest("/a/", "x"))) {
        Awaitility.await().until(() -> endpoint.requests().size() == 1);
        gateway.stop();
        Answer answer = GatewayFixture.read(caller);
        assertEquals(502, answer.status());
        assertFalse(gateway.log().events().contains("front.request.timeout"));
      }
    }
  }

  /**
   * Guards against a request that is cut off by the end of a process with little time to stop. The
   * process ended before the moment from which requests are refused, so the last request was still
   * started.
   */
  @Test
  void acceptsNothingAfterTheEnd() throws Exception {
    Duration stopTime = Duration.ofMillis(1_500);
    try (GatewayFixture gateway = new GatewayFixture(stopTime)) {
      endpoint.then("", WAIT).then(OK, KEEP);
      gateway.timeout(LONG).route(RouteKind.ONCE, 1, false, endpoint);
      try (Socket caller = gateway.raw(GatewayFixture.keptRequest("/a/", "x"))) {
        Awaitility.await().until(() -> endpoint.requests().size() == 1);
        gateway.stop();
        assertEquals(502, GatewayFixture.read(caller).status());
      }
      try (Socket late = gateway.open("/a/", "y")) {
        // The kernel may have accepted the connection just before the end; the connection is then
        // closed without being read.
        int status = GatewayFixture.read(late).status();
        assertTrue(status == 503 || status == 0, "status " + status);
      } catch (SocketException e) {
        // The connection was refused, or reset without being read.
        assertTrue(gateway.log().events().contains("process.stopped"));
      }
      assertEquals(1, endpoint.requests().size());
    }
  }

  private static void awaitEvent(GatewayFixture gateway, String event) {
    Awaitility.await()
        .atMost(Duration.ofSeconds(5))
        .until(() -> gateway.log().events().contains(event));
  }

  private static void send(Socket caller, String bytes) {
    try {
      caller.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
      caller.getOutputStream().flush();
    } catch (IOException e) {
      // The connection is closed, as the read that follows verifies.
      assertFalse(caller.isInputShutdown());
    }
  }

  /** Reads byte by byte until a text has been received. */
  private static void readUntil(Socket caller, String text) throws IOException {
    StringBuilder seen = new StringBuilder();
    while (seen.indexOf(text) < 0) {
      int next = caller.getInputStream().read();
      if (next < 0) {
        throw new IOException("the connection ended after: " + seen);
      }
      seen.append((char) next);
    }
  }
}

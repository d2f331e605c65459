package io.hawthornlb.gateway.front;

import static io.hawthornlb.gateway.ScriptedEndpoint.After.CLOSE;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.KEEP;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.RESET;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.WAIT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.front.GatewayFixture.Answer;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers each point at which a request can fail, over real sockets. */
class ForwardingFailureTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\n";
  private static final String OK = HEAD + "Content-Length: 4\r\n\r\nbody";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String FULL =
      "HTTP/1.1 503 Full\r\nTest-Id: {id}\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String END = "0\r\n\r\n";

  private GatewayFixture gateway;
  private ScriptedEndpoint first;
  private ScriptedEndpoint second;

  @BeforeEach
  void start() throws IOException {
    gateway = new GatewayFixture();
    first = new ScriptedEndpoint();
    second = new ScriptedEndpoint();
  }

  @AfterEach
  void stop() throws IOException {
    gateway.close();
    first.close();
    second.close();
  }

  @Test
  void forwardsRequestAndResponseUnchanged() throws IOException {
    first.then(OK, KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first).call("/a/b?c=d", "hello");
    assertEquals(200, answer.status());
    assertEquals("body", answer.body());
    assertTrue(answer.head().contains("Test-Signature: s"), answer.head());
    String request = first.requests().get(0);
    assertTrue(request.startsWith("POST /a/b?c=d HTTP/1.1\r\n"), request);
    assertTrue(request.endsWith("\r\n\r\nhello"), request);
    for (String header : new String[] {"Test-Id: id-1", "Test-Expect: e0", "Other: x"}) {
      assertTrue(request.contains(header), request);
    }
  }

  @Test
  void triesAnotherEndpointWhenOneIsFull() throws IOException {
    first.then(FULL, KEEP);
    second.then(OK, KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first, second).call("/a/", "x");
    assertEquals(200, answer.status());
  }

  /**
   * Guards against a request that is sent on a connection kept from before the endpoint restarted.
   * The restarted endpoint does not know that connection, and the request is lost.
   */
  @Test
  void usesNoConnectionToAFormerIncarnation() throws IOException {
    first.then(OK, KEEP).then(OK, RESET);
    gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    second.then(OK, KEEP);
    gateway.restart("e0", second);
    assertEquals(200, gateway.call("/a/", "x").status());
    assertEquals(1, second.requests().size());
  }

  /**
   * Guards against a stream that stalls for seconds after its endpoint crashed without closing the
   * connection. The restarted endpoint was available within one second and could have resumed the
   * stream.
   */
  @Test
  void resumesAStreamAtTheRestartedEndpoint() throws Exception {
    first.then(CHUNKED + chunk("id: 1\ndata: a\n\n"), WAIT);
    second.then(CHUNKED + chunk("id: 2\ndata: b\n\n") + END, KEEP);
    gateway.route(RouteKind.STREAM, 3, true, first);
    try (Socket caller = gateway.open("/a/", "x")) {
      Awaitility.await().until(() -> first.requests().size() == 1);
      gateway.restart("e0", second);
      Awaitility.await()
          .atMost(Duration.ofMillis(1_000))
          .until(() -> second.requests().size() == 1);
      Answer answer = GatewayFixture.read(caller);
      assertTrue(answer.whole());
      assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", answer.body());
    }
  }

  /**
   * Guards against aborting a stream at a healthy endpoint. The request was sent just after the
   * endpoint had restarted, and before the list of endpoints showed the restart.
   */
  @Test
  void keepsAStreamOfARestartedEndpointWhenTheRestartBecomesKnown() throws Exception {
    first.then(CHUNKED + chunk("id: 1\ndata: a\n\n"), WAIT);
    gateway.route(RouteKind.STREAM, 1, false, first);
    long startMillis = System.currentTimeMillis();
    Thread.sleep(20);
    try (Socket caller = gateway.open("/a/", "x")) {
      Awaitility.await().until(() -> first.requests().size() == 1);
      gateway.restart("e0", first, startMillis);
      assertFalse(first.callerDisconnected().await(300, TimeUnit.MILLISECONDS));
      assertTrue(caller.isConnected());
    }
  }

  @Test
  void sendsRetryAfterIfNothingRan() throws IOException {
    first.then(FULL, KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    assertEquals(503, answer.status());
    assertTrue(answer.head().toLowerCase().contains("retry-after: 0."), answer.head());
  }

  /**
   * Guards against a stream that is cut off by a gateway restart. The gateway took the request
   * seven seconds after the stop signal, because the load balancer still sent connections there,
   * and the process ended one second later.
   */
  @Test
  void acceptsNoRequestLateInAStop() throws Exception {
    first.then(CHUNKED + "f\r\nid: 1\ndata: a\n\n\r\n", WAIT);
    gateway.timeout(Duration.ofSeconds(6)).route(RouteKind.STREAM, 1, false, first);
    try (Socket running = gateway.open("/a/", "x")) {
      Awaitility.await().until(() -> first.requests().size() == 1);
      gateway.stop();
      Awaitility.await().until(() -> gateway.log().events().contains("process.stopping"));
      gateway.raw("").close();
      Awaitility.await()
          .atMost(Duration.ofSeconds(5))
          .until(() -> gateway.log().events().contains("process.accepts.no.more"));
      assertThrows(ConnectException.class, () -> gateway.raw(""));
      assertFalse(gateway.log().events().contains("process.stopped"));
      assertTrue(running.isConnected());
    }
  }

  /**
   * Guards against a request that runs twice. The endpoint had run it when the connection broke,
   * and the gateway sent it to another endpoint.
   */
  @Test
  void neverRetriesARequestThatMayHaveRun() throws IOException {
    first.then("", RESET);
    second.then(OK, KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 3, false, first, second).call("/a/", "x");
    assertEquals(502, answer.status());
    assertEquals(1, first.requests().size() + second.requests().size());
  }

  @Test
  void retriesAnIdempotentRequest() throws IOException {
    first.then(HEAD + "Content-Length: 9\r\n\r\ntorn", CLOSE);
    second.then(OK, KEEP);
    Answer answer = gateway.route(RouteKind.IDEMPOTENT, 2, false, first, second).call("/a/", "x");
    assertEquals("body", answer.body());
  }

  /**
   * Guards against an unsigned response of a faulty endpoint that the caller takes for a valid one.
   */
  @Test
  void neverForwardsAnUnsignedSuccess() throws IOException {
    first.then("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake", KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    assertEquals(502, answer.status());
  }

  /**
   * Guards against a caller that gets the late response to another request on the same connection.
   */
  @Test
  void ignoresAResponseToAnotherRequest() throws IOException {
    first.then(OK.replace("{id}", "other").replace("body", "late") + OK, KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    assertEquals("body", answer.body());
  }

  @Test
  void forwardsAnErrorOfTheEndpoint() throws IOException {
    first.then(OK.replace("200 OK", "422 No"), KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    assertEquals(422, answer.status());
    assertEquals("body", answer.body());
  }

  /**
   * Guards against a status that states that the request has not run, from an endpoint that has run
   * it.
   */
  @ParameterizedTest
  @ValueSource(ints = {408, 429, 503})
  void forwardsNoNotRunStatusWithoutTheMarkerHeader(int status) throws IOException {
    String unmarked = HEAD.replace("200 OK", status + " Busy") + "Content-Length: 0\r\n\r\n";
    first.then(unmarked, KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    assertEquals(502, answer.status());
    assertFalse(answer.head().contains("Test-Signature"), answer.head());
  }

  /**
   * Guards against an event that the caller misses or receives twice, after one endpoint broke off
   * in the middle of an event and another endpoint resumed the stream.
   */
  @Test
  void resumesAStreamAfterTheLastWholeEvent() throws IOException {
    first.then(CHUNKED + chunk("id: 1\ndata: a\n\nid: 2\nda"), RESET);
    second.then(
        CHUNKED.replace("Test-Signature: s", "Test-Signature: t")
            + chunk("id: 2\ndata: b\n\n")
            + chunk("id: 3\ndata: c\n\n")
            + END,
        KEEP);
    Answer answer = gateway.route(RouteKind.STREAM, 2, true, first, second).call("/a/", "x");
    assertTrue(answer.whole());
    assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", answer.body());
    assertTrue(answer.head().contains("Test-Signature: s"), answer.head());
    assertTrue(second.requests().get(0).contains("Last-Event-Id: 1"), second.requests().get(0));
  }

  /**
   * Guards against a stream that mixes two runs or has a gap: the endpoint that was asked to resume
   * restarts from the beginning, or skips an event.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 3})
  void neverResumesWithAnEventOutOfSequence(int begin) throws IOException {
    first.then(CHUNKED + chunk("id: 1\ndata: a\n\n"), RESET);
    StringBuilder other = new StringBuilder();
    for (int id = begin; id < begin + 3; id++) {
      other.append("id: ").append(id).append("\ndata: x\n\n");
    }
    second.then(CHUNKED + chunk(other.toString()) + END, KEEP);
    Answer answer = gateway.route(RouteKind.STREAM, 2, true, first, second).call("/a/", "x");
    assertFalse(answer.whole());
    assertEquals("id: 1\ndata: a\n\n", answer.body());
  }

  /** Guards against a truncated stream that looks complete to the caller. */
  @Test
  void neverEndsATruncatedStreamAsComplete() throws IOException {
    first.then(CHUNKED + chunk("id: 1\ndata: a\n\n"), RESET);
    Answer answer = gateway.route(RouteKind.STREAM, 1, false, first).call("/a/", "x");
    assertEquals(200, answer.status());
    assertFalse(answer.whole());
  }

  /**
   * Guards against a stream without a length that is reset in transit and looks as if it had ended
   * normally.
   */
  @Test
  void doesNotTakeAResetForTheEndOfAStream() throws IOException {
    first.then(HEAD + "Connection: close\r\n\r\nid: 1\ndata: a\n\n", RESET);
    Answer answer = gateway.route(RouteKind.STREAM, 1, false, first).call("/a/", "x");
    assertFalse(answer.whole());
  }

  /** Guards against endpoints that keep working for callers that have disconnected. */
  @Test
  void abortsTheEndpointCallWhenTheCallerDisconnects() throws IOException, InterruptedException {
    first.then(CHUNKED + chunk("id: 1\ndata: a\n\n"), WAIT);
    gateway.route(RouteKind.STREAM, 1, false, first);
    try (Socket caller = gateway.open("/a/", "x")) {
      assertTrue(caller.getInputStream().read() > 0);
    }
    assertTrue(first.callerDisconnected().await(2, TimeUnit.SECONDS));
  }

  @Test
  void answersAtTheTimeoutOfTheRoute() throws IOException {
    first.then("", WAIT);
    gateway.route(RouteKind.ONCE, 1, false, first);
    long before = System.nanoTime();
    Answer answer = gateway.call("/a/", "x");
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
    assertEquals(504, answer.status());
    assertTrue(millis >= 1_400 && millis < 2_500, millis + " ms");
  }

  /**
   * Guards against a caller that waits its whole time for a silent endpoint although another
   * endpoint is free.
   */
  @Test
  void abandonsASilentEndpointIfTheRouteAllowsIt() throws IOException {
    first.then("", WAIT);
    second.then(CHUNKED + chunk("id: 1\ndata: a\n\n") + END, KEEP);
    gateway.route(RouteKind.STREAM, 2, true, first, second);
    Answer answer = gateway.call("/a/", "x");
    // Twice the objective exceeds the timeout of the route here, so the caller may get the timeout
    // first.
    assertTrue(answer.status() == 504 || answer.whole());
    assertTrue(gateway.log().events().contains("front.endpoint.silent"));
  }

  /**
   * Guards against a silent endpoint that is reported only once although requests that may not be
   * repeated keep waiting for it.
   */
  @Test
  void reportsASilentEndpointAgainWhileARequestMustWait() throws IOException {
    first.then("", WAIT);
    gateway.timeout(Duration.ofMillis(2_500)).route(RouteKind.ONCE, 1, false, first);
    assertEquals(504, gateway.call("/a/", "x").status());
    long reported = gateway.log().events().stream().filter("front.endpoint.silent"::equals).count();
    assertEquals(2, reported);
  }

  @Test
  void answers404OnlyOnceRoutesAreKnown() throws IOException {
    Answer early = gateway.call("/nowhere/", "x");
    assertEquals(503, early.status());
    assertTrue(early.head().toLowerCase().contains("retry-after"), early.head());
    gateway.route(RouteKind.ONCE, 1, false, first);
    assertEquals(404, gateway.call("/nowhere/", "x").status());
  }

  /**
   * Guards against a 404 that makes a caller give up a request of a new route. The process had not
   * reached the store for seconds, and had only the routes of that earlier time.
   */
  @Test
  void answers503InsteadOf404IfRoutesMayBeStale() throws Exception {
    first.then(OK, KEEP);
    gateway.route(RouteKind.ONCE, 1, false, first).storeUnresponsive(true);
    // The read that is already in progress is still answered.
    Thread.sleep(GatewayFixture.CHANGE_TIME.multipliedBy(2).toMillis());
    long before = System.nanoTime();
    Answer unsure = gateway.call("/nowhere/", "x");
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
    assertEquals(503, unsure.status());
    assertTrue(unsure.head().toLowerCase().contains("retry-after"), unsure.head());
    assertTrue(millis < 900, millis + " ms");
    assertEquals(200, gateway.call("/a/", "x").status());
    gateway.storeUnresponsive(false);
    Awaitility.await()
        .atMost(GatewayFixture.CHANGE_TIME)
        .until(() -> gateway.call("/nowhere/", "x").status() == 404);
  }

  /**
   * Guards against a request of a new route that is refused as an unreadable job because its host
   * also accepts jobs.
   */
  @Test
  void treatsNoRequestWithoutARouteAsAJob() throws Exception {
    gateway.route(RouteKind.JOB, 1, false);
    assertEquals(404, gateway.call("/nowhere/", "x").status());
    gateway.storeUnresponsive(true);
    Thread.sleep(GatewayFixture.CHANGE_TIME.multipliedBy(2).toMillis());
    assertEquals(503, gateway.call("/nowhere/", "x").status());
    // A request of a known job route is handled as a job, however old the routes are.
    assertEquals(400, gateway.call("/a/", "x").status());
  }

  /**
   * Guards against a caller that gives a request up because of a size limit that was raised seconds
   * ago.
   */
  @Test
  void answers503InsteadOf413IfLimitsMayBeStale() throws Exception {
    gateway.route(RouteKind.ONCE, 1, false, first).storeUnresponsive(true);
    Thread.sleep(GatewayFixture.CHANGE_TIME.multipliedBy(2).toMillis());
    Answer body = gateway.call("/a/", "x".repeat(5_001));
    assertEquals(503, body.status());
    assertTrue(body.head().toLowerCase().contains("retry-after"), body.head());
    String longHeader = "GET /a/ HTTP/1.1\r\nX: " + "y".repeat(3_000) + "\r\n\r\n";
    try (Socket socket = gateway.raw(longHeader)) {
      assertEquals(503, GatewayFixture.read(socket).status());
    }
    assertEquals(0, first.requests().size());
  }

  @Test
  void answersInvalidInputWithASpecificStatus() throws IOException {
    gateway.route(RouteKind.ONCE, 1, false, first);
    assertEquals(413, gateway.call("/a/", "x".repeat(5_001)).status());
    String longHeader = "GET /a/ HTTP/1.1\r\nX: " + "y".repeat(3_000) + "\r\n\r\n";
    try (Socket socket = gateway.raw(longHeader)) {
      assertEquals(431, GatewayFixture.read(socket).status());
    }
    try (Socket socket = gateway.raw("nonsense\r\n\r\n")) {
      assertEquals(400, GatewayFixture.read(socket).status());
    }
    try (Socket socket = gateway.raw("GET /a/ HT")) {
      assertEquals(408, GatewayFixture.read(socket).status());
    }
    assertEquals(0, first.requests().size());
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }
}

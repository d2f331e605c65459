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

/** Each point at which a request can stop, over real sockets. */
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
  void passesRequestAndAnswerOnUnchanged() throws IOException {
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
  void asksAnotherEndpointWhenOneIsFull() throws IOException {
    first.then(FULL, KEEP);
    second.then(OK, KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first, second).call("/a/", "x");
    assertEquals(200, answer.status());
  }

  /**
   * A check is lost on a connection to an endpoint that has started again. The connection was kept
   * from its former life, and the endpoint knows nothing of it.
   */
  @Test
  void usesNoConnectionToAFormerLife() throws IOException {
    first.then(OK, KEEP).then(OK, RESET);
    gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    second.then(OK, KEEP);
    gateway.restart("e0", second);
    assertEquals(200, gateway.call("/a/", "x").status());
    assertEquals(1, second.requests().size());
  }

  /**
   * A briefing stands still for seconds after an endpoint crashed without a word. It was back
   * within one, and could have gone on with the stream.
   */
  @Test
  void resumesAtTheNextLifeWhatAFormerOneBegan() throws Exception {
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
   * A briefing breaks off at an endpoint that is well. It was sent there just after the endpoint
   * had started again, and before the list told of that.
   */
  @Test
  void keepsWhatTheNewLifeTookBeforeItWasKnown() throws Exception {
    first.then(CHUNKED + chunk("id: 1\ndata: a\n\n"), WAIT);
    gateway.route(RouteKind.STREAM, 1, false, first);
    long born = System.currentTimeMillis();
    Thread.sleep(20);
    try (Socket caller = gateway.open("/a/", "x")) {
      Awaitility.await().until(() -> first.requests().size() == 1);
      gateway.restart("e0", first, born);
      assertFalse(first.callerLeft().await(300, TimeUnit.MILLISECONDS));
      assertTrue(caller.isConnected());
    }
  }

  @Test
  void tellsWhenToComeBackIfNothingRan() throws IOException {
    first.then(FULL, KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    assertEquals(503, answer.status());
    assertTrue(answer.head().toLowerCase().contains("retry-after: 0."), answer.head());
  }

  /**
   * A coordinator's briefing is cut off midway while a gateway is restarted. It was taken seven
   * seconds after the signal to stop, because the balancer still sent connections there, and the
   * process ended a second later.
   */
  @Test
  void takesNoRequestLateInAStop() throws Exception {
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
   * A worker is paid twice for one check-in. The endpoint had run it when its connection broke, and
   * the request was sent to another one.
   */
  @Test
  void neverSendsAgainWhatMayHaveRun() throws IOException {
    first.then("", RESET);
    second.then(OK, KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 3, false, first, second).call("/a/", "x");
    assertEquals(502, answer.status());
    assertEquals(1, first.requests().size() + second.requests().size());
  }

  @Test
  void repeatsAnIdempotentRequest() throws IOException {
    first.then(HEAD + "Content-Length: 9\r\n\r\ntorn", CLOSE);
    second.then(OK, KEEP);
    Answer answer = gateway.route(RouteKind.IDEMPOTENT, 2, false, first, second).call("/a/", "x");
    assertEquals("body", answer.body());
  }

  /** A caller takes bytes of a broken endpoint for an answer. They bore no proof. */
  @Test
  void neverPassesOnASuccessWithoutProof() throws IOException {
    first.then("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake", KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    assertEquals(502, answer.status());
  }

  /** A caller gets the answer to another request, which came late on the same connection. */
  @Test
  void passesOverAnAnswerToAnotherRequest() throws IOException {
    first.then(OK.replace("{id}", "other").replace("body", "late") + OK, KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    assertEquals("body", answer.body());
  }

  @Test
  void passesAnEndpointsFailureOn() throws IOException {
    first.then(OK.replace("200 OK", "422 No"), KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    assertEquals(422, answer.status());
    assertEquals("body", answer.body());
  }

  /**
   * A caller misses an event, or reads one twice, after an endpoint broke off in the middle of an
   * event and another one went on.
   */
  /** A caller heard that its request never runs from an endpoint that had run it. */
  @ParameterizedTest
  @ValueSource(ints = {408, 429, 503})
  void passesOnNoPromiseWithoutTheMarkOfARequestThatDidNotRun(int status) throws IOException {
    String unmarked = HEAD.replace("200 OK", status + " Busy") + "Content-Length: 0\r\n\r\n";
    first.then(unmarked, KEEP);
    Answer answer = gateway.route(RouteKind.ONCE, 1, false, first).call("/a/", "x");
    assertEquals(502, answer.status());
    assertFalse(answer.head().contains("Test-Signature"), answer.head());
  }

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
   * A caller reads a stream of two runs as one: the endpoint that was asked to go on began anew, or
   * behind an event that is missing.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 3})
  void goesOnWithNoStreamThatBeginsElsewhere(int begin) throws IOException {
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

  /** A caller takes half of a stream for all of it. */
  @Test
  void neverEndsABrokenStreamAsComplete() throws IOException {
    first.then(CHUNKED + chunk("id: 1\ndata: a\n\n"), RESET);
    Answer answer = gateway.route(RouteKind.STREAM, 1, false, first).call("/a/", "x");
    assertEquals(200, answer.status());
    assertFalse(answer.whole());
  }

  /** A stream without a length was reset on its way and looks like one that has ended. */
  @Test
  void takesAResetForNoEnd() throws IOException {
    first.then(HEAD + "Connection: close\r\n\r\nid: 1\ndata: a\n\n", RESET);
    Answer answer = gateway.route(RouteKind.STREAM, 1, false, first).call("/a/", "x");
    assertFalse(answer.whole());
  }

  /** Endpoints work on for callers who have left long ago. */
  @Test
  void endsTheWorkOfACallerWhoLeft() throws IOException, InterruptedException {
    first.then(CHUNKED + chunk("id: 1\ndata: a\n\n"), WAIT);
    gateway.route(RouteKind.STREAM, 1, false, first);
    try (Socket caller = gateway.open("/a/", "x")) {
      assertTrue(caller.getInputStream().read() > 0);
    }
    assertTrue(first.callerLeft().await(2, TimeUnit.SECONDS));
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

  /** A caller waits its whole time for an endpoint that went dark, though another one is free. */
  @Test
  void leavesASilentEndpointWhereItMay() throws IOException {
    first.then("", WAIT);
    second.then(CHUNKED + chunk("id: 1\ndata: a\n\n") + END, KEEP);
    gateway.route(RouteKind.STREAM, 2, true, first, second);
    Answer answer = gateway.call("/a/", "x");
    // Twice the objective is beyond the route's timeout here, so the caller is told in time.
    assertTrue(answer.status() == 504 || answer.whole());
    assertTrue(gateway.log().events().contains("front.endpoint.silent"));
  }

  /** Guards against an endpoint that hangs with requests that may not leave it, told of once. */
  @Test
  void tellsAgainOfASilentEndpointThatARequestMayNotLeave() throws IOException {
    first.then("", WAIT);
    gateway.timeout(Duration.ofMillis(2_500)).route(RouteKind.ONCE, 1, false, first);
    assertEquals(504, gateway.call("/a/", "x").status());
    long told = gateway.log().events().stream().filter("front.endpoint.silent"::equals).count();
    assertEquals(2, told);
  }

  @Test
  void refusesWhatHasNoRouteOnlyOnceItKnowsTheRoutes() throws IOException {
    Answer early = gateway.call("/nowhere/", "x");
    assertEquals(503, early.status());
    assertTrue(early.head().toLowerCase().contains("retry-after"), early.head());
    gateway.route(RouteKind.ONCE, 1, false, first);
    assertEquals(404, gateway.call("/nowhere/", "x").status());
  }

  /**
   * A caller gives a request of a new route up by a 404. The process had not heard of the store for
   * seconds, and knew the routes of that time only.
   */
  @Test
  void refusesNothingForGoodByRoutesThatMayBeOld() throws Exception {
    first.then(OK, KEEP);
    gateway.route(RouteKind.ONCE, 1, false, first).storeAway(true);
    // The read that was on its way is answered once more.
    Thread.sleep(GatewayFixture.CHANGE_TIME.multipliedBy(2).toMillis());
    long before = System.nanoTime();
    Answer unsure = gateway.call("/nowhere/", "x");
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
    assertEquals(503, unsure.status());
    assertTrue(unsure.head().toLowerCase().contains("retry-after"), unsure.head());
    assertTrue(millis < 900, millis + " ms");
    assertEquals(200, gateway.call("/a/", "x").status());
    gateway.storeAway(false);
    Awaitility.await()
        .atMost(GatewayFixture.CHANGE_TIME)
        .until(() -> gateway.call("/nowhere/", "x").status() == 404);
  }

  /** A request of a new route is refused as a job that cannot be read: its host takes jobs too. */
  @Test
  void takesNothingWithoutARouteForAJob() throws Exception {
    gateway.route(RouteKind.JOB, 1, false);
    assertEquals(404, gateway.call("/nowhere/", "x").status());
    gateway.storeAway(true);
    Thread.sleep(GatewayFixture.CHANGE_TIME.multipliedBy(2).toMillis());
    assertEquals(503, gateway.call("/nowhere/", "x").status());
    // A job of a known route is taken for one whatever the routes are now.
    assertEquals(400, gateway.call("/a/", "x").status());
  }

  /** A caller gives a request up for a bound on its size that was raised seconds ago. */
  @Test
  void refusesNothingForGoodByLimitsThatMayBeOld() throws Exception {
    gateway.route(RouteKind.ONCE, 1, false, first).storeAway(true);
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
  void answersBadInputWithOneClearError() throws IOException {
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

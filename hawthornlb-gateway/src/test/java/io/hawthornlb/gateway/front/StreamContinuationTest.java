package io.hawthornlb.gateway.front;

import static io.hawthornlb.gateway.ScriptedEndpoint.After.KEEP;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.RESET;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.front.GatewayFixture.Answer;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Covers streams that are continued while endpoints of several software versions serve. */
class StreamContinuationTest {

  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String BEGINNING = CHUNKED + chunk("id: 1\ndata: a\n\n");
  private static final String REST = CHUNKED + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";

  /** Headers of a caller that has the first event of the attempt that all requests here name. */
  private static final String RESUMED = "Last-Event-Id: 1\r\nTest-Resumes: id-1\r\n";

  private final List<ScriptedEndpoint> endpoints;
  private GatewayFixture gateway;

  StreamContinuationTest() throws IOException {
    endpoints = List.of(new ScriptedEndpoint(), new ScriptedEndpoint(), new ScriptedEndpoint());
  }

  @BeforeEach
  void start() {
    gateway = new GatewayFixture();
  }

  @AfterEach
  void stop() throws IOException {
    gateway.close();
    for (ScriptedEndpoint endpoint : endpoints) {
      endpoint.close();
    }
  }

  /** Guards against a response that joins events of two versions after its endpoint failed. */
  @Test
  void continuesAtNoOtherVersionWithinAResponse() throws IOException {
    endpoints.get(0).then(BEGINNING, RESET);
    endpoints.get(1).then(REST, KEEP);
    Answer answer = offer(3, "v1", "v2").call("/a/", "x");
    assertFalse(answer.whole());
    assertEquals("id: 1\ndata: a\n\n", answer.body());
    assertEquals(0, endpoints.get(1).requests().size());
  }

  @Test
  void continuesAtTheSameVersionWithinAResponse() throws IOException {
    endpoints.get(0).then(BEGINNING, RESET);
    endpoints.get(1).then(REST, KEEP);
    endpoints.get(2).then(REST, KEEP);
    Answer answer = offer(3, "v1", "v2", "v1").call("/a/", "x");
    assertTrue(answer.whole());
    assertEquals(0, endpoints.get(1).requests().size());
  }

  /** Guards against a caller that joins events of two versions over its attempts. */
  @Test
  void resumesNoStreamOfACallerAtAnotherVersion() throws IOException {
    endpoints.get(0).then(BEGINNING, RESET);
    endpoints.get(1).then(REST, KEEP);
    assertFalse(offer(1, "v1", "v2").call("/a/", "x").whole());
    gateway.remove("e0");
    assertRefused(gateway.callWith(RESUMED, "/a/", "x"));
    assertEquals(0, endpoints.get(1).requests().size());
  }

  @Test
  void resumesAStreamOfACallerAtItsVersion() throws IOException {
    endpoints.get(0).then(BEGINNING, RESET);
    endpoints.get(1).then(REST, KEEP);
    endpoints.get(2).then(REST, KEEP);
    assertFalse(offer(1, "v1", "v2", "v1").call("/a/", "x").whole());
    gateway.remove("e0");
    Answer answer = gateway.callWith(RESUMED, "/a/", "x");
    assertEquals(200, answer.status());
    assertEquals("id: 2\ndata: b\n\n", answer.body());
    assertEquals(0, endpoints.get(1).requests().size());
  }

  /** Guards against a stream that is placed anywhere because nobody knows what began it. */
  @Test
  void refusesAStreamWhoseBeginningIsUnknown() throws IOException {
    endpoints.get(0).then(REST, KEEP);
    endpoints.get(1).then(REST, KEEP);
    offer(3, "v1", "v2");
    assertRefused(gateway.callWith(RESUMED.replace("id-1", "id-2"), "/a/", "x"));
    assertRefused(gateway.callWith("Last-Event-Id: 1\r\n", "/a/", "x"));
    assertEquals(0, endpoints.get(0).requests().size() + endpoints.get(1).requests().size());
  }

  /** Guards against a caller without a name for its stream that is refused for no reason. */
  @Test
  void resumesAnUnnamedStreamWhereOneVersionHasServedForLong() throws Exception {
    endpoints.get(0).then(REST, KEEP);
    Duration timeout = Duration.ofMillis(300);
    gateway.timeout(timeout);
    offer(3, "v1", "v1");
    assertRefused(gateway.callWith("Last-Event-Id: 1\r\n", "/a/", "x"));
    Thread.sleep(timeout.multipliedBy(5).toMillis());
    assertEquals(200, gateway.callWith("Last-Event-Id: 1\r\n", "/a/", "x").status());
  }

  /** Guards against a stream of a version that this instance has not seen, as its list is old. */
  @Test
  void refusesAnUnnamedStreamIfTheListMayBeOld() throws Exception {
    Duration timeout = Duration.ofMillis(1_000);
    gateway.timeout(timeout);
    offer(3, "v1", "v1");
    Thread.sleep(timeout.multipliedBy(5).toMillis());
    gateway.storeUnresponsive(true);
    assertRefused(gateway.callWith("Last-Event-Id: 1\r\n", "/a/", "x"));
    assertEquals(0, endpoints.get(0).requests().size());
  }

  /** Guards against a stream that goes on by a version that was told before a restart was known. */
  @Test
  void resumesNoStreamWhoseEndpointHadRestartedUnnoticed() throws Exception {
    CountDownLatch restarted = new CountDownLatch(1);
    endpoints.get(0).then(BEGINNING, restarted, "", RESET);
    endpoints.get(1).then(REST, KEEP);
    offer(3, "v1", "v1");
    long start = System.currentTimeMillis();
    Thread.sleep(20);
    try (Socket caller = gateway.open("/a/", "x")) {
      Awaitility.await().until(() -> endpoints.get(0).requests().size() == 1);
      gateway.restart("e0", endpoints.get(0), start);
      restarted.countDown();
      assertFalse(GatewayFixture.read(caller).whole());
    }
    assertRefused(gateway.callWith(RESUMED, "/a/", "x"));
    assertEquals(0, endpoints.get(1).requests().size());
  }

  private GatewayFixture offer(int maxAttempts, String... versions) {
    ScriptedEndpoint[] offered =
        endpoints.subList(0, versions.length).toArray(ScriptedEndpoint[]::new);
    return gateway.versions(versions).route(RouteKind.STREAM, maxAttempts, true, offered);
  }

  private static void assertRefused(Answer answer) {
    assertEquals(503, answer.status());
    assertTrue(answer.head().toLowerCase().contains("retry-after"), answer.head());
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }
}

package io.hawthornlb.gateway.front;

import static io.hawthornlb.gateway.ScriptedEndpoint.After.CLOSE;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.KEEP;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.workspace.WorkspaceLimit;
import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.front.GatewayFixture.Answer;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Covers the keys of workspaces, over real sockets. */
class WorkspaceKeyTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\n";
  private static final String OK = HEAD + "Content-Length: 4\r\n\r\nbody";
  private static final String FULL =
      "HTTP/1.1 503 Full\r\nTest-Id: {id}\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String EVENT_1 = "11\r\nid: 1\ndata: aaa\n\n\r\n";
  private static final String EVENT_2 = "11\r\nid: 2\ndata: bbb\n\n\r\n";
  private static final String END = "0\r\n\r\n";
  private static final String KEY = "Test-Key: key-a\r\n";

  private GatewayFixture gateway;
  private ScriptedEndpoint endpoint;

  @BeforeEach
  void start() throws IOException {
    gateway = new GatewayFixture().keys(Map.of("key-a", "farm", "key-b", "store"));
    endpoint = new ScriptedEndpoint();
  }

  @AfterEach
  void stop() throws IOException {
    gateway.close();
    endpoint.close();
  }

  /**
   * Guards against a key that an endpoint can read, and against a workspace that a caller claims.
   */
  @Test
  void tellsTheEndpointTheWorkspaceButNotTheKey() throws IOException {
    endpoint.then(OK, KEEP);
    gateway.route(RouteKind.ONCE, 1, false, endpoint);
    Answer answer = gateway.callWith(KEY + "Test-Workspace: store\r\n", "/a/", "x");
    assertEquals(200, answer.status());
    String request = endpoint.requests().get(0);
    assertTrue(request.contains("Test-Workspace: farm\r\n"), request);
    assertFalse(request.contains("store") || request.contains("key-a"), request);
  }

  /** Guards against a resumed stream that runs for the workspace that the caller claims. */
  @Test
  void tellsTheWorkspaceAgainWhenAStreamIsResumed() throws IOException {
    endpoint.then(CHUNKED + EVENT_1, CLOSE);
    try (ScriptedEndpoint second = new ScriptedEndpoint()) {
      second.then(CHUNKED + EVENT_2 + END, KEEP);
      gateway.route(RouteKind.STREAM, 2, true, endpoint, second);
      Answer answer = gateway.callWith(KEY + "Test-Workspace: store\r\n", "/a/", "x");
      assertEquals(200, answer.status());
      String resumed = second.requests().get(0);
      assertTrue(resumed.contains("Test-Workspace: farm\r\n"), resumed);
      assertFalse(resumed.contains("store") || resumed.contains("key-a"), resumed);
    }
  }

  /** Guards against requests that run without a key, with a foreign one or with several. */
  @Test
  void refusesRequestsWithoutAKnownKey() throws IOException {
    gateway.route(RouteKind.ONCE, 1, false, endpoint);
    assertEquals(401, gateway.call("/a/", "x").status());
    assertEquals(401, gateway.callWith("Test-Key: key-c\r\n", "/a/", "x").status());
    assertEquals(401, gateway.callWith(KEY + "Test-Key: key-b\r\n", "/a/", "x").status());
    assertEquals(401, gateway.callWith("Test-Workspace: farm\r\n", "/a/", "x").status());
    assertEquals(404, gateway.callWith("Test-Key: key-c\r\n", "/nowhere/", "x").status());
    assertTrue(endpoint.requests().isEmpty());
  }

  /** Guards against a route that is open to all but asks for a key or believes a claim. */
  @Test
  void servesAnonymousCallersOnAnOpenRoute() throws IOException {
    endpoint.then(OK, KEEP).then(OK, KEEP);
    gateway.openRoute(RouteKind.ONCE, endpoint);
    assertEquals(200, gateway.callWith("Test-Workspace: store\r\n", "/a/", "x").status());
    assertEquals(200, gateway.callWith("Test-Key: key-c\r\n", "/a/", "x").status());
    for (String request : endpoint.requests()) {
      assertFalse(request.contains("Test-Workspace") || request.contains("key-c"), request);
    }
  }

  /** Guards against reading megabytes of a caller that may not send any request. */
  @Test
  void refusesAnUnknownKeyBeforeTheBodyArrivesAndKeepsTheConnection() throws IOException {
    endpoint.then(OK, KEEP);
    gateway.route(RouteKind.ONCE, 1, false, endpoint);
    String head = "POST /a/ HTTP/1.1\r\nHost: h.example\r\nTest-Id: id-1\r\n";
    try (Socket socket =
        gateway.raw(head + "Test-Key: key-c\r\nContent-Length: 4000\r\n\r\nfirst bytes")) {
      byte[] start = socket.getInputStream().readNBytes(12);
      assertEquals("HTTP/1.1 401", new String(start, StandardCharsets.US_ASCII));
      String rest = "y".repeat(4_000 - "first bytes".length());
      String next = head + KEY + "Content-Length: 1\r\nConnection: close\r\n\r\nx";
      socket.getOutputStream().write((rest + next).getBytes(StandardCharsets.US_ASCII));
      String answers =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(answers.contains("HTTP/1.1 200"), answers);
    }
  }

  /** Guards against a workspace that runs more than its limit, or is not told when to return. */
  @Test
  void refusesRequestsBeyondTheLimitWithATimeToReturn() throws IOException {
    gateway.limit(new WorkspaceLimit(0.1, 2)).keys(Map.of("key-a", "farm", "key-b", "store"));
    gateway.route(RouteKind.ONCE, 1, false, endpoint);
    for (int i = 0; i < 3; i++) {
      endpoint.then(OK, KEEP);
    }
    assertEquals(200, gateway.callWith(KEY, "/a/", "x").status());
    assertEquals(200, gateway.callWith(KEY, "/a/", "x").status());
    Answer beyond = gateway.callWith(KEY, "/a/", "x");
    assertEquals(429, beyond.status());
    assertTrue(beyond.head().toLowerCase(Locale.ROOT).contains("retry-after: "), beyond.head());
    assertEquals(200, gateway.callWith("Test-Key: key-b\r\n", "/a/", "x").status());
    assertEquals(3, endpoint.requests().size());
    assertTrue(gateway.log().events().contains("front.limit.exceeded"));
  }

  /** Guards against a limit that is used up by requests that no endpoint has run. */
  @Test
  void countsNoRequestThatAllEndpointsTurnAway() throws IOException {
    gateway.limit(new WorkspaceLimit(0.1, 2)).keys(Map.of("key-a", "farm"));
    gateway.route(RouteKind.ONCE, 1, false, endpoint);
    for (int i = 0; i < 4; i++) {
      endpoint.then(FULL, KEEP);
      assertEquals(503, gateway.callWith(KEY, "/a/", "x").status());
    }
    endpoint.then(OK, KEEP).then(OK, KEEP);
    assertEquals(200, gateway.callWith(KEY, "/a/", "x").status());
    assertEquals(200, gateway.callWith(KEY, "/a/", "x").status());
    assertEquals(429, gateway.callWith(KEY, "/a/", "x").status());
  }

  /** Guards against a key that stays valid on a connection on which it was valid once. */
  @Test
  void refusesARevokedKeyOnAKeptConnection() throws IOException {
    endpoint.then(OK, KEEP);
    gateway.route(RouteKind.ONCE, 1, false, endpoint);
    try (Socket socket = gateway.raw(GatewayFixture.keptRequestWith(KEY, "/a/", "x"))) {
      Awaitility.await().until(() -> endpoint.requests().size() == 1);
      gateway.changeKeys(2, Map.of("key-b", "store"));
      String last = GatewayFixture.keptRequestWith(KEY + "Connection: close\r\n", "/a/", "x");
      socket.getOutputStream().write(last.getBytes(StandardCharsets.US_ASCII));
      String answers =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(answers.contains("HTTP/1.1 401"), answers);
    }
    assertEquals(1, endpoint.requests().size());
  }

  /** Guards against an answer that is broken off although its request was allowed when it came. */
  @Test
  void completesAStreamWhoseKeyIsRevokedMeanwhile() throws IOException {
    CountDownLatch revoked = new CountDownLatch(1);
    endpoint.then(CHUNKED + EVENT_1, revoked, EVENT_2 + END, KEEP);
    gateway.route(RouteKind.STREAM, 1, false, endpoint);
    try (Socket socket =
        gateway.raw(GatewayFixture.keptRequestWith(KEY + "Connection: close\r\n", "/a/", "x"))) {
      Awaitility.await().until(() -> endpoint.requests().size() == 1);
      gateway.changeKeys(2, Map.of("key-b", "store"));
      revoked.countDown();
      Answer answer = GatewayFixture.read(socket);
      assertEquals(200, answer.status());
      assertTrue(answer.whole());
    }
  }

  /** Guards against a workspace that is told by a former holder of the key. */
  @Test
  void followsAKeyThatMovesToAnotherWorkspace() throws IOException {
    endpoint.then(OK, KEEP).then(OK, KEEP);
    gateway.route(RouteKind.ONCE, 1, false, endpoint);
    gateway.callWith(KEY, "/a/", "x");
    gateway.changeKeys(2, Map.of("key-a", "store"));
    gateway.callWith(KEY, "/a/", "x");
    assertTrue(endpoint.requests().get(1).contains("Test-Workspace: store\r\n"));
  }

  /** Guards against a late read of an older version that puts a revoked key in force again. */
  @Test
  void neverReturnsToAnOlderVersion() throws IOException {
    gateway.route(RouteKind.ONCE, 1, false, endpoint);
    gateway.changeKeys(3, Map.of("key-b", "store"));
    gateway.offerKeys(2, Map.of("key-a", "farm"));
    assertEquals(401, gateway.callWith(KEY, "/a/", "x").status());
  }

  /**
   * Guards against an instance that is cut off and goes on to accept keys that may have been
   * revoked, although the operator asked for strict revocation.
   */
  @Test
  void refusesKnownKeysOnceTheyMayBeRevokedIfRevocationIsStrict() throws IOException {
    try (GatewayFixture strict =
        new GatewayFixture(new RevocationPolicy(true, Duration.ofSeconds(2)))
            .keys(Map.of("key-a", "farm"))) {
      endpoint.then(OK, KEEP);
      strict.route(RouteKind.ONCE, 1, false, endpoint);
      assertEquals(200, strict.callWith(KEY, "/a/", "x").status());
      strict.storeUnresponsive(true);
      Awaitility.await().until(() -> strict.unansweredReads() > 0);
      Awaitility.await()
          .atMost(Duration.ofSeconds(10))
          .until(
              () -> {
                endpoint.then(OK, KEEP);
                return strict.callWith(KEY, "/a/", "x").status() == 503;
              });
    }
  }

  /** Guards against refusing all callers of an instance that is cut off from the store. */
  @Test
  void servesKnownKeysWhileTheStoreIsAwayIfRevocationIsLenient() throws Exception {
    gateway.route(RouteKind.ONCE, 1, false, endpoint);
    gateway.storeUnresponsive(true);
    Awaitility.await()
        .atMost(GatewayFixture.CHANGE_TIME.multipliedBy(3))
        .until(() -> gateway.callWith("Test-Key: key-c\r\n", "/a/", "x").status() == 503);
    endpoint.then(OK, KEEP);
    assertEquals(200, gateway.callWith(KEY, "/a/", "x").status());
  }

  /**
   * Guards against telling a caller that its new key does not exist while this process cannot read
   * the configuration that has it.
   */
  @Test
  void doesNotRefuseAnUnknownKeyForGoodWhileTheConfigurationMayBeOld() throws Exception {
    gateway.route(RouteKind.ONCE, 1, false, endpoint);
    gateway.storeUnresponsive(true);
    Awaitility.await()
        .atMost(GatewayFixture.CHANGE_TIME.multipliedBy(3))
        .until(() -> gateway.callWith("Test-Key: key-c\r\n", "/a/", "x").status() == 503);
  }

  /**
   * Guards against a request that runs for nobody on a route that needs no key, although a version
   * that this process cannot read has its key.
   */
  @Test
  void runsNoRequestWithoutTheWorkspaceOfAKeyThatMayBeNew() throws IOException {
    endpoint.whenever("", OK, KEEP);
    gateway.openRoute(RouteKind.ONCE, endpoint);
    gateway.storeUnresponsive(true);
    Awaitility.await()
        .atMost(GatewayFixture.CHANGE_TIME.multipliedBy(3))
        .until(() -> gateway.callWith("Test-Key: key-c\r\n", "/a/", "x").status() == 503);
    assertEquals(200, gateway.call("/a/", "x").status());
    assertEquals(200, gateway.callWith(KEY, "/a/", "x").status());
    String last = endpoint.requests().get(endpoint.requests().size() - 1);
    assertTrue(last.contains("Test-Workspace: farm\r\n"), last);
  }
}

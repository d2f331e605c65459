package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.ScriptedEndpoint.After;
import io.hawthornlb.gateway.front.GatewayFixture.Answer;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends requests with a part of their prompts that crashes endpoints, over real sockets. */
class CrashingPartTest {

  private static final int ENDPOINTS = 12;

  /** Endpoints that may end before requests with the part are refused. */
  private static final int MAX_CRASHED = 5;

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String EVENT = "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

  private final ScriptedEndpoint[] endpoints = new ScriptedEndpoint[ENDPOINTS];
  private GatewayFixture gateway;
  private int calls;

  @BeforeEach
  void start() throws IOException {
    gateway = new GatewayFixture();
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints[i] =
          new ScriptedEndpoint()
              .whenever("bad:", HEAD, After.CRASH)
              .whenever("", HEAD + EVENT, After.KEEP);
    }
    gateway.route(RouteKind.STREAM, 1, true, endpoints);
  }

  @AfterEach
  void stop() throws IOException {
    gateway.close();
    for (ScriptedEndpoint endpoint : endpoints) {
      endpoint.close();
    }
  }

  /** Guards against requests that share a part of their prompts and crash endpoint by endpoint. */
  @Test
  void endsNoMoreEndpointsOncePartIsKnown() throws IOException {
    for (int i = 0; i < ENDPOINTS - 2; i++) {
      call("first:200,bad:50");
    }
    assertTrue(crashed() <= MAX_CRASHED, crashed() + " endpoints ended");
    Answer refused = call("first:200,bad:50");
    assertEquals(503, refused.status());
    assertTrue(refused.head().toLowerCase().contains("retry-after: "), refused.head());
  }

  /**
   * Guards against blaming a crash on the part that sound requests share with the crashing ones.
   */
  @Test
  void servesSoundRequestsWithTheSameFirstPart() throws IOException {
    for (int i = 0; i < ENDPOINTS - 2; i++) {
      call("first:200,bad:50");
      assertEquals(200, call("first:200,sound:50").status(), "sound request " + i);
    }
    assertTrue(crashed() <= MAX_CRASHED, crashed() + " endpoints ended");
  }

  /**
   * Guards against a block that no request can end, as each probe is refused at its second check.
   */
  @Test
  void sendsOneRequestAfterAWhileToFindOutWhetherThePartStillCrashes() throws Exception {
    for (int i = 0; i < MAX_CRASHED; i++) {
      call("first:200,bad:50");
    }
    final long before = crashed();
    Thread.sleep(3_200);
    call("first:200,bad:50");
    call("first:200,bad:50");
    assertEquals(before + 1, crashed());
  }

  /** Guards against a probe that counts as made though no endpoint accepted its connection. */
  @Test
  void sendsAnotherProbeAfterOneThatReachedNoEndpoint() throws Exception {
    for (int i = 0; i < MAX_CRASHED; i++) {
      call("first:200,bad:50");
    }
    for (ScriptedEndpoint endpoint : endpoints) {
      endpoint.close();
    }
    Thread.sleep(3_200);
    assertEquals(503, call("first:200,bad:50").status());
    try (ScriptedEndpoint well = new ScriptedEndpoint().whenever("", HEAD + EVENT, After.KEEP)) {
      gateway.restart("e0", well);
      assertEquals(200, call("first:200,bad:50").status());
    }
  }

  private Answer call(String sharedParts) throws IOException {
    calls++;
    String headers = "Test-Parts: " + sharedParts + ",own" + calls + ":20\r\n";
    return gateway.callWith(headers, "/a/" + calls, "body " + calls);
  }

  private long crashed() {
    return Stream.of(endpoints)
        .filter(each -> each.requests().stream().anyMatch(request -> request.contains("bad:")))
        .count();
  }
}

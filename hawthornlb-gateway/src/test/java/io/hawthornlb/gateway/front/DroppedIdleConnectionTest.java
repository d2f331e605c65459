package io.hawthornlb.gateway.front;

import static io.hawthornlb.gateway.ScriptedEndpoint.After.KEEP;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.RESET;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/**
 * An endpoint may drop idle connections after a shorter time than others do, without closing them.
 * A request sent on such a connection is reset and may not be sent again, so the caller gets a
 * failure. The same would happen to the next caller after each idle time, as long as the pool keeps
 * connections to that endpoint for the same time as before.
 */
class DroppedIdleConnectionTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nbody";

  /** Idle time of a connection, shorter than the time that an endpoint usually keeps it. */
  private static final Duration IDLE_TIME = Duration.ofMillis(300);

  /**
   * Limit for a reset that counts as that of a dropped connection. On a busy machine a reset may
   * take longer; it does not count then.
   */
  private static final Duration IMMEDIATE = Duration.ofMillis(100);

  private static final int MAX_ATTEMPTS = 10;

  @Test
  void shortensKeepAliveAfterAnIdleConnectionWasReset() throws Exception {
    try (GatewayFixture gateway = new GatewayFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(OK, KEEP);
      gateway.route(RouteKind.ONCE, 1, false, endpoint);
      assertEquals(200, gateway.call("/a/", "x").status());
      awaitImmediateReset(gateway, endpoint);
      int connections = endpoint.connections();
      endpoint.then(OK, KEEP);
      Thread.sleep(IDLE_TIME.toMillis());
      assertEquals(200, gateway.call("/a/", "x").status());
      assertEquals(
          connections + 1,
          endpoint.connections(),
          "expected one new connection after the idle time");
    }
  }

  /**
   * Resets idle connections until one is reset within {@link #IMMEDIATE}, and leaves a new one
   * open.
   */
  private static void awaitImmediateReset(GatewayFixture gateway, ScriptedEndpoint endpoint)
      throws Exception {
    for (int number = 0; number < MAX_ATTEMPTS; number++) {
      endpoint.then("", RESET).then(OK, KEEP);
      Thread.sleep(IDLE_TIME.toMillis());
      long before = System.nanoTime();
      assertEquals(502, gateway.call("/a/", "x").status());
      Duration took = Duration.ofNanos(System.nanoTime() - before);
      Awaitility.await().until(() -> served(gateway));
      if (took.compareTo(IMMEDIATE) < 0) {
        return;
      }
    }
    fail("no reset came within " + IMMEDIATE);
  }

  private static boolean served(GatewayFixture gateway) throws IOException {
    return gateway.call("/a/", "x").status() == 200;
  }
}

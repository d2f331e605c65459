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
 * An endpoint forgets connections that rested for a moment, sooner than others do and without a
 * word. A user's request is sent on such a connection and is reset; it may not be sent again, so
 * the user gets a failure. So does the next user after a moment of rest, and the next, because
 * connections to that endpoint go on being kept for as long as before.
 */
class ForgottenConnectionTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nbody";

  /** Rest of a connection, within the time that an endpoint usually keeps it. */
  private static final Duration REST = Duration.ofMillis(300);

  /** A reset that takes longer is not that of a forgotten connection; it does on a busy machine. */
  private static final Duration AT_ONCE = Duration.ofMillis(100);

  private static final int TRIES = 10;

  @Test
  void keepsConnectionsForLessTimeAfterARestedOneWasReset() throws Exception {
    try (GatewayFixture gateway = new GatewayFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(OK, KEEP);
      gateway.route(RouteKind.ONCE, 1, false, endpoint);
      assertEquals(200, gateway.call("/a/", "x").status());
      awaitResetAtOnce(gateway, endpoint);
      int connections = endpoint.connections();
      endpoint.then(OK, KEEP);
      Thread.sleep(REST.toMillis());
      assertEquals(200, gateway.call("/a/", "x").status());
      assertEquals(connections + 1, endpoint.connections(), "a new one after the rest");
    }
  }

  /** Lets rested connections be reset until one was reset at once, and another one is kept. */
  private static void awaitResetAtOnce(GatewayFixture gateway, ScriptedEndpoint endpoint)
      throws Exception {
    for (int number = 0; number < TRIES; number++) {
      endpoint.then("", RESET).then(OK, KEEP);
      Thread.sleep(REST.toMillis());
      long before = System.nanoTime();
      assertEquals(502, gateway.call("/a/", "x").status());
      Duration took = Duration.ofNanos(System.nanoTime() - before);
      Awaitility.await().until(() -> served(gateway));
      if (took.compareTo(AT_ONCE) < 0) {
        return;
      }
    }
    fail("no reset came at once");
  }

  private static boolean served(GatewayFixture gateway) throws IOException {
    return gateway.call("/a/", "x").status() == 200;
  }
}

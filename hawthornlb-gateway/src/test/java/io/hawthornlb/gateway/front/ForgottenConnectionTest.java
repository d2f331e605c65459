package io.hawthornlb.gateway.front;

import static io.hawthornlb.gateway.ScriptedEndpoint.After.KEEP;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.RESET;
import static org.junit.jupiter.api.Assertions.assertEquals;

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

  @Test
  void keepsConnectionsForLessTimeAfterARestedOneWasReset() throws Exception {
    try (GatewayFixture gateway = new GatewayFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(OK, KEEP).then("", RESET).then(OK, KEEP).then(OK, KEEP);
      gateway.route(RouteKind.ONCE, 1, false, endpoint);
      assertEquals(200, gateway.call("/a/", "x").status());
      Thread.sleep(REST.toMillis());
      assertEquals(502, gateway.call("/a/", "x").status());
      Awaitility.await().until(() -> served(gateway));
      Thread.sleep(REST.toMillis());
      assertEquals(200, gateway.call("/a/", "x").status());
      assertEquals(3, endpoint.connections(), "a new one after the rest");
    }
  }

  private static boolean served(GatewayFixture gateway) throws IOException {
    return gateway.call("/a/", "x").status() == 200;
  }
}

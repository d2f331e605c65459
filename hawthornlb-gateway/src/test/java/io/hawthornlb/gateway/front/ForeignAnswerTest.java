package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.ScriptedEndpoint.After;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ForeignAnswerTest {

  /**
   * A whole answer is lost: its endpoint named a time to keep the connection beyond all numbers.
   */
  @ParameterizedTest
  @ValueSource(strings = {"99999999999999999999", "9223372036854775807", "999999999", "0", "x", ""})
  void anAnswerIsWholeWhateverTimeItNames(String seconds) throws IOException {
    String answer =
        "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\nKeep-Alive: timeout="
            + seconds
            + "\r\nContent-Length: 4\r\n\r\nbody";
    try (GatewayFixture gateway = new GatewayFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(answer, After.KEEP);
      gateway.route(RouteKind.ONCE, 1, false, endpoint);
      assertEquals(200, gateway.call("/a/b", "hello").status());
    }
  }

  /** Bytes that are no message at the port of the peers end their own connection alone. */
  @Test
  void servesOnWhileAStrangerTalksToThePeersPort() throws IOException {
    String answer =
        "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nbody";
    try (GatewayFixture gateway = new GatewayFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(answer, After.KEEP);
      gateway.route(RouteKind.ONCE, 1, false, endpoint);
      gateway.strangers();
      assertEquals(200, gateway.call("/a/b", "hello").status());
    }
  }
}

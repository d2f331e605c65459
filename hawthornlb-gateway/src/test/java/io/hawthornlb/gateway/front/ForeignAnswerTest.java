package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.ScriptedEndpoint.After;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ForeignAnswerTest {

  /**
   * Guards against a complete response that is lost because its Keep-Alive header names a timeout
   * that is out of range or not a number.
   */
  @ParameterizedTest
  @ValueSource(strings = {"99999999999999999999", "9223372036854775807", "999999999", "0", "x", ""})
  void forwardsAResponseWithAnyKeepAliveTimeout(String seconds) throws IOException {
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

  /** Guards against an answer of another request that names none and that whoever waits gets. */
  @Test
  void forwardsNoAnswerThatNamesNoRequest() throws IOException {
    String unnamed = "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nbody";
    try (GatewayFixture gateway = new GatewayFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(unnamed, After.KEEP);
      gateway.route(RouteKind.ONCE, 1, false, endpoint);
      assertEquals(502, gateway.call("/a/b", "hello").status());
      assertTrue(gateway.log().events().contains("endpoint.answer.dropped"));
    }
  }

  /**
   * Guards against a request that fails for the copy of an answer that has no body by its status.
   */
  @ParameterizedTest
  @ValueSource(strings = {"204 No Content", "304 Not Modified"})
  void readsOnAfterACopyWithoutABody(String status) throws IOException {
    String copy = "HTTP/1.1 " + status + "\r\nTest-Id: other\r\n\r\n";
    String own =
        "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nbody";
    try (GatewayFixture gateway = new GatewayFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(copy + own, After.KEEP);
      gateway.route(RouteKind.ONCE, 1, false, endpoint);
      assertEquals("body", gateway.call("/a/b", "hello").body());
    }
  }

  /** Bytes on the peer port that are no peer message must end only the connection they came on. */
  @Test
  void keepsServingWhileForeignBytesReachThePeerPort() throws IOException {
    String answer =
        "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nbody";
    try (GatewayFixture gateway = new GatewayFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(answer, After.KEEP);
      gateway.route(RouteKind.ONCE, 1, false, endpoint);
      gateway.sendForeignBytes();
      assertEquals(200, gateway.call("/a/b", "hello").status());
    }
  }
}

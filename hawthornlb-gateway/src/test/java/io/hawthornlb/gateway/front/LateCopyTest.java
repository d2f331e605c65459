package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.ScriptedEndpoint.After;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LateCopyTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\nContent-Length: 16\r\n\r\n";

  /** Guards against a late copy that a caller gets if it sends a second request under one id. */
  @ParameterizedTest
  @CsvSource({"ONCE, false", "IDEMPOTENT, false", "STREAM, true"})
  void passesNoCopyOnToASecondRequestOfTheSameId(RouteKind kind, boolean resumable)
      throws IOException {
    try (GatewayFixture gateway = new GatewayFixture();
        ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint
          .then(HEAD + "id: 1\ndata: a1\n\n", After.KEEP_AND_REPEAT)
          .then(HEAD + "id: 1\ndata: b2\n\n", After.KEEP);
      gateway.route(kind, 1, resumable, endpoint);
      assertEquals("id: 1\ndata: a1\n\n", gateway.call("/a/b", "hello").body());
      assertEquals("id: 1\ndata: b2\n\n", gateway.call("/a/b", "hello").body());
    }
  }
}

package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.front.SentAnswer.Framing;
import io.hawthornlb.gateway.front.SentAnswer.Naming;
import io.hawthornlb.gateway.front.StutteringEndpoint.Bytes;
import io.hawthornlb.gateway.front.StutteringEndpoint.End;
import io.hawthornlb.gateway.front.StutteringEndpoint.Reply;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Sends a success to one request and a failure to the next, with a copy of the success between. */
class StutteredAnswerTest {

  private static final String BODY = "id: 1\ndata: a1\n\n";

  private final AtomicInteger runs = new AtomicInteger();
  private volatile String between = "";

  static Stream<Arguments> copies() {
    List<Arguments> rows = new ArrayList<>();
    for (String methods : List.of("GET GET", "GET HEAD", "HEAD GET", "GET POST")) {
      for (String second : List.of("same id", "other id")) {
        for (Naming naming : Naming.values()) {
          for (Framing framing : Framing.values()) {
            rows.add(Arguments.of(methods, second, naming, framing));
          }
        }
      }
    }
    return rows.stream();
  }

  /** Guards against a late copy of a success that a caller gets whose run ended with a failure. */
  @ParameterizedTest
  @MethodSource("copies")
  void passesOnNoSuccessWhereTheEndpointAnsweredWithAFailure(
      String methods, String second, Naming naming, Framing framing) throws IOException {
    String[] method = methods.split(" ");
    SentAnswer first = new SentAnswer("id-1", method[0], "/a/1", 200, "s1", BODY);
    between = first.text(naming, framing);
    try (GatewayFixture gateway = gateway();
        StutteringEndpoint endpoint = new StutteringEndpoint(this::reply)) {
      route(gateway, endpoint);
      assertEquals(200, send(gateway, method[0], "id-1"));
      int status = send(gateway, method[1], second.equals("same id") ? "id-1" : "id-2");
      assertTrue(status >= 500, "the endpoint answered 500, the caller got " + status);
    }
  }

  private Reply reply(String id, String method, String path, List<SentAnswer> earlier) {
    int run = runs.incrementAndGet();
    SentAnswer answer =
        new SentAnswer(id, method, path, run == 1 ? 200 : 500, "s" + run, run == 1 ? BODY : "no");
    Bytes own = Bytes.of(answer.text(Naming.OWN, Framing.LENGTH));
    return new Reply(answer, List.of(own), List.of(Bytes.of(between)), End.KEEP);
  }

  private static GatewayFixture gateway() {
    return new GatewayFixture().timeout(Duration.ofMillis(250));
  }

  private static void route(GatewayFixture gateway, StutteringEndpoint endpoint) {
    gateway.route(RouteKind.IDEMPOTENT, 1, false, true, endpoint.address());
  }

  private static int send(GatewayFixture gateway, String method, String id) throws IOException {
    String request =
        method
            + " /a/1 HTTP/1.1\r\nHost: h.example\r\nTest-Remaining: 6000\r\nTest-Id: "
            + id
            + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    try (Socket socket = gateway.raw(request)) {
      return GatewayFixture.read(socket).status();
    }
  }
}

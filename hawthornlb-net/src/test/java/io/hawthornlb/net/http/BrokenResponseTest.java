package io.hawthornlb.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.net.endpoint.EndpointCall;
import io.hawthornlb.net.endpoint.EndpointCallException;
import io.hawthornlb.net.endpoint.EndpointFault;
import io.hawthornlb.net.endpoint.EndpointResponse;
import io.hawthornlb.net.endpoint.TrafficKind;
import io.hawthornlb.net.endpoint.support.EndpointClientSettings;
import io.hawthornlb.net.endpoint.support.HttpEndpointClient;
import io.hawthornlb.net.platform.LogUnavailableException;
import io.hawthornlb.net.platform.PlatformUnavailableException;
import io.hawthornlb.net.platform.support.HttpInstanceListClient;
import io.hawthornlb.net.platform.support.HttpPlatformLogClient;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers the clients of the product's own entry: of endpoints, of the log, of the list. */
class BrokenResponseTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final HttpEndpointClient endpoints =
      new HttpEndpointClient(EndpointClientSettings.DEFAULT);
  private final URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort());
  private volatile String response = "";
  private volatile End end = End.KEEP;

  /** What the server does with the connection after a response. */
  private enum End {
    KEEP,
    CLOSE,
    RESET
  }

  BrokenResponseTest() throws IOException {
    Thread thread = new Thread(this::serve, "server");
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void stop() throws IOException {
    endpoints.close();
    server.close();
  }

  /** Guards against a status, an event, a record or a list that comes with a broken head. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000 OK",
        "099 OK",
        "600 OK",
        "1000 OK",
        "+200 OK",
        "200 OK\r\nX Y: v",
        "200 OK\r\nX\t: v",
        "200 OK\r\nContent-Length x: 2",
        "410 Gone\r\nX Y: v",
        "503 Busy\r\nX Y: v"
      })
  void takesNothingFromABrokenHead(String status) {
    String head = "HTTP/1.1 " + status + "\r\n";
    assertBroken(head);
  }

  private void assertBroken(String head) {
    answer(head + "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody");
    EndpointCallException whole =
        assertThrows(
            EndpointCallException.class, () -> endpoints.exchange(call("GET"), TIMEOUT).block());
    assertEquals(EndpointFault.BROKEN, whole.fault());
    answer(head + "Content-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata: a\n\n");
    EndpointCallException stream =
        assertThrows(
            EndpointCallException.class, () -> endpoints.events(call("GET"), TIMEOUT).blockLast());
    assertEquals(EndpointFault.BROKEN, stream.fault());
    assertStoreUnavailable(head);
  }

  private void assertStoreUnavailable(String head) {
    try (HttpPlatformLogClient log = new HttpPlatformLogClient(uri);
        HttpInstanceListClient list = new HttpInstanceListClient(uri)) {
      answer(json(head, "{\"firstOffset\":7,\"count\":1}"));
      assertFails(
          LogUnavailableException.class,
          log.append(new StreamName("s"), List.of(new byte[] {1})),
          "the log did not respond");
      answer(json(head, "{\"asOf\":\"2026-12-07T00:00:00Z\",\"instances\":[]}"));
      assertFails(
          PlatformUnavailableException.class, list.list(), "the instance list did not respond");
    }
  }

  /** Guards against a response without a length that a reset cuts off and that looks whole. */
  @ParameterizedTest
  @ValueSource(ints = {0, 4 * 1_048_576})
  void takesNoPartThatAResetCutsOff(int upload) {
    end = End.RESET;
    answer("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n");
    EndpointCall call =
        new EndpointCall(
            uri.getAuthority(), "POST", "/", List.of(), new byte[upload], TrafficKind.ONLINE);
    EndpointCallException whole =
        assertThrows(EndpointCallException.class, () -> endpoints.exchange(call, TIMEOUT).block());
    assertEquals(EndpointFault.BROKEN, whole.fault());
    EndpointCallException stream =
        assertThrows(
            EndpointCallException.class, () -> endpoints.events(call, TIMEOUT).blockLast());
    assertEquals(EndpointFault.BROKEN, stream.fault());
  }

  /** Guards against a list of instances that a reset cuts off behind what looks like its end. */
  @Test
  void takesNoListThatAResetCutsOff() {
    end = End.RESET;
    String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    answer(head + "{\"asOf\":\"2026-12-07T00:00:00Z\",\"instances\":[]}");
    try (HttpInstanceListClient list = new HttpInstanceListClient(uri)) {
      assertFails(
          PlatformUnavailableException.class, list.list(), "the instance list did not respond");
    }
  }

  /** Guards against a whole response that is lost since it ends with its connection. */
  @Test
  void takesAResponseThatEndsWithItsConnection() {
    end = End.CLOSE;
    answer("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n");
    assertEquals(9, endpoints.exchange(call("GET"), TIMEOUT).block().body().length);
    assertEquals(List.of("a"), endpoints.events(call("GET"), TIMEOUT).collectList().block());
    assertEquals(9, endpoints.exchange(call("GET"), TIMEOUT).block().body().length);
  }

  /** Guards against a sound response that the check refuses. */
  @ParameterizedTest
  @ValueSource(strings = {"200 OK", "200 ", "200", "299 Any", "422 No", "599 Any"})
  void takesAnyStatusOfHttp(String status) {
    answer("HTTP/1.1 " + status + "\r\nA:\r\nB: \u00fc\t:\r\nContent-Length: 4\r\n\r\nbody");
    EndpointResponse got = endpoints.exchange(call("GET"), TIMEOUT).block();
    assertEquals(
        status.substring(0, 3) + " body",
        got.status() + " " + new String(got.body(), StandardCharsets.US_ASCII));
  }

  /** Guards against the response to a HEAD request whose missing body is waited for. */
  @Test
  void takesTheResponseToAHeadRequest() {
    answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
    assertEquals(200, endpoints.exchange(call("HEAD"), TIMEOUT).block().status());
    answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    assertEquals(4, endpoints.exchange(call("GET"), TIMEOUT).block().body().length);
  }

  private static <T extends Exception> void assertFails(
      Class<T> type, CompletionStage<?> stage, String message) {
    ExecutionException failure =
        assertThrows(
            ExecutionException.class,
            () -> stage.toCompletableFuture().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
    assertEquals(message, assertInstanceOf(type, failure.getCause()).getMessage());
  }

  private EndpointCall call(String method) {
    return EndpointCall.bare(uri.getAuthority(), method, "/", TrafficKind.ONLINE);
  }

  private void answer(String text) {
    response = text;
  }

  private static String json(String head, String body) {
    return head
        + "Content-Type: application/json\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Answers each request as soon as its head has come. */
  private void serve() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Thread thread = new Thread(() -> serve(socket), "connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      while (readHead(socket.getInputStream())) {
        socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        if (end == End.RESET) {
          // The response must arrive before the reset.
          Thread.sleep(50);
          socket.setSoLinger(true, 0);
        }
        if (end != End.KEEP) {
          return;
        }
      }
    } catch (IOException e) {
      // The client has closed the connection.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).contains("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return false;
      }
      head.write(next);
    }
    return true;
  }
}

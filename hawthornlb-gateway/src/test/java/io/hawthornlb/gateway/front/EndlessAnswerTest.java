package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.ScriptedEndpoint.After;
import io.hawthornlb.gateway.front.GatewayFixture.Answer;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers endpoints that send bytes without end until their caller closes. */
class EndlessAnswerTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\n";
  private static final String SIGNED = HEAD + "Test-Signature: s\r\n\r\n";
  private static final String WHOLE = SIGNED.replace("s\r\n\r\n", "s\r\nContent-Length: 4\r\n\r\n");
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final int PIECE_BYTES = 65_536;
  private static final String EVENT = "id: 1\ndata: a\n\n";

  /**
   * Bytes that an endpoint may send beyond a limit: what lies in sockets and one turn of a loop.
   */
  private static final long IN_SOCKETS = 16L * 1_048_576;

  private GatewayFixture gateway;
  private ScriptedEndpoint endless;
  private ScriptedEndpoint sound;

  @BeforeEach
  void start() throws IOException {
    gateway = new GatewayFixture();
    endless = new ScriptedEndpoint();
    sound = new ScriptedEndpoint();
  }

  @AfterEach
  void stop() throws IOException {
    gateway.close();
    endless.close();
    sound.close();
  }

  /** Guards against one event without end that fills the heap, or comments in place of events. */
  @ParameterizedTest
  @CsvSource({"data: x", "data: x%n", ": x%n%n", "%n", "%r%n"})
  void resumesAStreamElsewhereWhoseBytesMakeNoEvent(String piece) throws Exception {
    endless.endlessly(SIGNED, lines(piece));
    sound.whenever("", SIGNED + EVENT, After.CLOSE);
    Answer answer = gateway.route(RouteKind.STREAM, 2, true, endless, sound).call("/a/", "x");
    assertTrue(answer.whole(), answer.head());
    assertTrue(answer.body().endsWith(EVENT));
    assertEnded();
  }

  /** Guards against an answer that nobody gets and that is read on until the route's timeout. */
  @ParameterizedTest
  @CsvSource({
    "200 OK,IDEMPOTENT",
    "500 Failed,IDEMPOTENT",
    "503 Full,IDEMPOTENT",
    "421 Other,ONCE",
    "200 OK,STREAM"
  })
  void readsNoAnswerOnThatNobodyGets(String status, RouteKind kind) throws Exception {
    endless.endlessly("HTTP/1.1 " + status + "\r\nTest-Id: {id}\r\n\r\n", "x");
    sound.whenever("", SIGNED + EVENT, After.CLOSE);
    Answer answer = gateway.route(kind, 2, true, endless, sound).call("/a/", "x");
    assertEquals(EVENT, answer.body());
    assertEnded();
  }

  /** Guards against bytes without end before an answer, which no timer but the route's ends. */
  @ParameterizedTest
  @CsvSource({
    "'',HTTP/1.1 100 Continue%r%n%r%n,answer.ended",
    "HTTP/1.1 200 OK%r%nTest-Id: other%r%n%r%n,x,connection.distrusted",
    "'',HTTP/1.1 200 OK%r%nTest-Id: other%r%nContent-Length: 1%r%n%r%nx,answer.ended",
    "'',%r%n,connection.distrusted",
    "HTTP/1.1 200 OK%r%n,Test-Other: x%r%n,connection.distrusted",
    "HTTP/1.1 200 OK%r%nTest-Other: ,x,connection.distrusted"
  })
  void readsNoEndlessBytesBeforeAnAnswer(String head, String piece, String line) throws Exception {
    endless.endlessly(lines(head), lines(piece));
    sound.whenever("", WHOLE + "body", After.KEEP);
    Answer answer = gateway.route(RouteKind.IDEMPOTENT, 2, false, endless, sound).call("/a/", "x");
    assertEquals("body", answer.body());
    assertEnded("endpoint." + line);
  }

  /** Guards against an answer without end that its caller takes for a whole one. */
  @Test
  void breaksOffAnEndlessAnswerAtTheTimeoutOfItsRoute() throws Exception {
    endless.endlessly(SIGNED, "x");
    gateway.timeout(Duration.ofMillis(400)).route(RouteKind.ONCE, 1, false, endless);
    assertFalse(looksWhole());
    assertTrue(endless.callerDisconnected().await(2, TimeUnit.SECONDS));
  }

  /**
   * Guards against a head that comes byte by byte and that keeps its endpoint from being silent.
   */
  @Test
  void leavesAnEndpointThatMakesNoHead() throws Exception {
    endless.trickling("HTTP/1.1 200 OK\r\nTest-Other: ", "x", Duration.ofMillis(100));
    sound.whenever("", WHOLE + "body", After.KEEP);
    gateway.timeout(Duration.ofSeconds(6)).route(RouteKind.IDEMPOTENT, 2, false, endless, sound);
    assertEquals("body", gateway.call("/a/", "x").body());
    assertTrue(endless.callerDisconnected().await(2, TimeUnit.SECONDS));
  }

  /**
   * Sends a request, and returns whether its answer looks whole; keeps nothing of the body, which
   * may be larger than the heap.
   */
  private boolean looksWhole() throws IOException {
    byte[] buffer = new byte[PIECE_BYTES];
    String head = "";
    String end = "";
    try (Socket socket = gateway.open("/a/", "x")) {
      InputStream in = socket.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        String piece = new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
        head = head.contains("\r\n\r\n") ? head : head + piece;
        end = (end + piece).substring(Math.max(0, end.length() + count - LAST_CHUNK.length()));
      }
    } catch (SocketException expected) {
      // A reset ends the response like a normal close.
    }
    boolean chunked = head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked");
    return !chunked || end.equals(LAST_CHUNK);
  }

  private void assertEnded() throws InterruptedException {
    assertEnded("endpoint.answer.ended");
  }

  private void assertEnded(String line) throws InterruptedException {
    assertTrue(endless.callerDisconnected().await(2, TimeUnit.SECONDS));
    assertTrue(gateway.log().events().contains(line));
    assertTrue(endless.endlessBytes() < IN_SOCKETS, () -> endless.endlessBytes() + " bytes");
  }

  private static String lines(String text) {
    return text.replace("%r", "\r").replace("%n", "\n");
  }
}

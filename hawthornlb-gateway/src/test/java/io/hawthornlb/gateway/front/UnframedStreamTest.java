package io.hawthornlb.gateway.front;

import static io.hawthornlb.gateway.ScriptedEndpoint.After.CLOSE;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.KEEP;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.RESET;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.front.GatewayFixture.Answer;
import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers answers that have neither a length nor chunks and end with their connection. */
class UnframedStreamTest {

  private static final String UNFRAMED =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\n\r\n";
  private static final String CHUNKED =
      UNFRAMED.replace("s\r\n", "s\r\nTransfer-Encoding: chunked\r\n");
  private static final String FIRST = "id: 1\ndata: a\n\n";
  private static final String SECOND = "id: 2\ndata: b\n\n";

  private GatewayFixture gateway;
  private ScriptedEndpoint first;
  private ScriptedEndpoint second;

  @BeforeEach
  void start() throws IOException {
    gateway = new GatewayFixture();
    first = new ScriptedEndpoint();
    second = new ScriptedEndpoint();
  }

  @AfterEach
  void stop() throws IOException {
    gateway.close();
    first.close();
    second.close();
  }

  @Test
  void completesAStreamThatEndsWithItsConnection() throws IOException {
    first.then(UNFRAMED + FIRST + SECOND, CLOSE);
    Answer answer = gateway.route(RouteKind.STREAM, 1, true, first).call("/a/", "x");
    assertTrue(answer.whole());
    assertEquals(FIRST + SECOND, answer.body());
  }

  /** Guards against a complete stream that is called broken because its events have no ids. */
  @Test
  void completesAStreamWhoseEventsHaveNoIds() throws IOException {
    first.then(UNFRAMED + "data: a\n\n", CLOSE);
    Answer answer = gateway.route(RouteKind.STREAM, 1, true, first).call("/a/", "x");
    assertTrue(answer.whole());
    assertEquals("data: a\n\n", answer.body());
  }

  /** Guards against a broken stream that ends as complete, as the next run sent a head only. */
  @Test
  void completesNoResumedStreamByARunWithoutEvents() throws IOException {
    for (ScriptedEndpoint each : List.of(first, second)) {
      each.whenever("last-event-id: 1", UNFRAMED, CLOSE);
      each.whenever("", CHUNKED + "f\r\n" + FIRST + "\r\n", RESET);
    }
    Answer answer = gateway.route(RouteKind.STREAM, 2, true, first, second).call("/a/", "x");
    assertFalse(answer.whole(), answer.body());
    assertEquals(FIRST, answer.body());
  }

  /** Guards against a stream that ends inside an event, or inside its last line, as complete. */
  @ParameterizedTest
  @ValueSource(strings = {"id: 2\ndata: b", "id: 2\ndata: b\n", "id: 2\r\ndata: b\r\n\r", "i"})
  void breaksOffAStreamThatEndsInsideAnEvent(String partial) throws IOException {
    first.then(UNFRAMED + FIRST + partial, CLOSE);
    Answer answer = gateway.route(RouteKind.STREAM, 1, true, first).call("/a/", "x");
    assertFalse(answer.whole(), answer.body());
    assertEquals(FIRST, answer.body());
  }

  @Test
  void breaksOffAStreamWhoseConnectionIsReset() throws IOException {
    first.then(UNFRAMED + FIRST, RESET);
    Answer answer = gateway.route(RouteKind.STREAM, 1, true, first).call("/a/", "x");
    assertFalse(answer.whole(), answer.body());
  }

  /** Guards against an answer larger than the buffer that a reset cuts off and that looks whole. */
  @Test
  void breaksOffALargeAnswerWhoseConnectionIsReset() throws IOException {
    first.then(UNFRAMED + "x".repeat(100_000), RESET);
    Answer answer = gateway.route(RouteKind.IDEMPOTENT, 1, false, first).call("/a/", "x");
    assertFalse(answer.whole());
  }

  @Test
  void completesALargeAnswerThatEndsWithItsConnection() throws IOException {
    first.then(UNFRAMED + "x".repeat(100_000), CLOSE);
    Answer answer = gateway.route(RouteKind.IDEMPOTENT, 1, false, first).call("/a/", "x");
    assertTrue(answer.whole());
    assertEquals(100_000, answer.body().length());
  }

  /** Guards against a stream that is called broken because a blank line follows its last event. */
  @Test
  void completesAStreamThatEndsWithABlankLine() throws IOException {
    first.then(UNFRAMED + FIRST + "\n", CLOSE);
    Answer answer = gateway.route(RouteKind.STREAM, 1, true, first).call("/a/", "x");
    assertTrue(answer.whole());
  }

  @Test
  void sendsAnUnframedAnswerOfAnIdempotentRequestAgainIfItIsReset() throws IOException {
    first.then(UNFRAMED + "torn", RESET);
    second.then(UNFRAMED + "body", CLOSE).then(UNFRAMED + "body", KEEP);
    Answer answer = gateway.route(RouteKind.IDEMPOTENT, 2, false, first, second).call("/a/", "x");
    assertEquals("body", answer.body());
  }
}

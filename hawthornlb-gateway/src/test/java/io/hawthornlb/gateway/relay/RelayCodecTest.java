package io.hawthornlb.gateway.relay;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.hawthornlb.gateway.decode.UnreadableException;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RelayCodecTest {

  private static final byte[] BODY = {1, 2, 3};

  @Test
  void decodesEncodedCalls() {
    RelayMessage.Call call =
        new RelayMessage.Call(
            7,
            RelayTarget.JOBS,
            "POST",
            "/a?b=c",
            Map.of("Type", "t"),
            BODY,
            Duration.ofMillis(900));
    RelayMessage.Call decoded =
        assertInstanceOf(RelayMessage.Call.class, RelayCodec.decode(RelayCodec.encode(call)));
    assertEquals(call.id(), decoded.id());
    assertEquals(call.target(), decoded.target());
    assertEquals(call.method(), decoded.method());
    assertEquals(call.path(), decoded.path());
    assertEquals(call.headers(), decoded.headers());
    assertEquals(call.timeout(), decoded.timeout());
    assertArrayEquals(BODY, decoded.body());
  }

  @Test
  void decodesEncodedReplies() {
    RelayMessage.Reply reply = new RelayMessage.Reply(7, 412, Map.of("Type", "t"), BODY);
    RelayMessage.Reply decoded =
        assertInstanceOf(RelayMessage.Reply.class, RelayCodec.decode(RelayCodec.encode(reply)));
    assertEquals(reply.id(), decoded.id());
    assertEquals(reply.status(), decoded.status());
    assertEquals(reply.headers(), decoded.headers());
    assertArrayEquals(BODY, decoded.body());
    RelayMessage.Failure failure = new RelayMessage.Failure(8, true, "unavailable");
    assertEquals(failure, RelayCodec.decode(RelayCodec.encode(failure)));
  }

  /** Guards against a reply whose status HTTP does not have, from an instance that checks none. */
  @ParameterizedTest
  @ValueSource(ints = {0, 99, 600, 999})
  void rejectsRepliesWithoutAStatus(int status) {
    byte[] frame = RelayCodec.encode(new RelayMessage.Reply(7, status, Map.of(), BODY));
    assertThrows(UnreadableException.class, () -> RelayCodec.decode(frame));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "GET / HTTP/1.1", "\u0001\u0002"})
  void rejectsInvalidFrames(String text) {
    byte[] bytes = text.getBytes();
    assertThrows(UnreadableException.class, () -> RelayCodec.decode(bytes));
  }
}

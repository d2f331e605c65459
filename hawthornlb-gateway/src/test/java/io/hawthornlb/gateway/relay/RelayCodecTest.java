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
  void readsCallsThatItWrote() {
    RelayMessage.Call call =
        new RelayMessage.Call(
            7,
            RelayTarget.JOBS,
            "POST",
            "/a?b=c",
            Map.of("Type", "t"),
            BODY,
            Duration.ofMillis(900));
    RelayMessage.Call read =
        assertInstanceOf(RelayMessage.Call.class, RelayCodec.decode(RelayCodec.encode(call)));
    assertEquals(call.id(), read.id());
    assertEquals(call.target(), read.target());
    assertEquals(call.method(), read.method());
    assertEquals(call.path(), read.path());
    assertEquals(call.headers(), read.headers());
    assertEquals(call.timeout(), read.timeout());
    assertArrayEquals(BODY, read.body());
  }

  @Test
  void readsRepliesThatItWrote() {
    RelayMessage.Reply reply = new RelayMessage.Reply(7, 412, Map.of("Type", "t"), BODY);
    RelayMessage.Reply read =
        assertInstanceOf(RelayMessage.Reply.class, RelayCodec.decode(RelayCodec.encode(reply)));
    assertEquals(reply.id(), read.id());
    assertEquals(reply.status(), read.status());
    assertEquals(reply.headers(), read.headers());
    assertArrayEquals(BODY, read.body());
    RelayMessage.Failure failure = new RelayMessage.Failure(8, true, "away");
    assertEquals(failure, RelayCodec.decode(RelayCodec.encode(failure)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "GET / HTTP/1.1", "\u0001\u0002"})
  void refusesForeignFrames(String text) {
    byte[] bytes = text.getBytes();
    assertThrows(UnreadableException.class, () -> RelayCodec.decode(bytes));
  }
}

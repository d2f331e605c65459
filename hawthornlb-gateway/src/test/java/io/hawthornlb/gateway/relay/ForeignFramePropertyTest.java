package io.hawthornlb.gateway.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.decode.ForeignBytes;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against a gateway that runs out of memory. A stranger connected to the port for its peers
 * and sent twenty bytes, five of which claimed a body of 2 GB.
 */
class ForeignFramePropertyTest {

  private static final List<RelayMessage> MESSAGES =
      List.of(
          new RelayMessage.Call(
              7,
              RelayTarget.STORE,
              "POST",
              "/a?b=c",
              Map.of("Type", "t", "Other", "u"),
              new byte[] {1, 2, 3},
              Duration.ofMillis(900)),
          new RelayMessage.Reply(7, 412, Map.of("Type", "t"), new byte[] {1, 2, 3}),
          new RelayMessage.Failure(8, true, "unavailable"));

  @Property(tries = 3_000, seed = ForeignBytes.SEED)
  void aFrameDecodesToAValidMessageOrIsUnreadable(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] valid = RelayCodec.encode(MESSAGES.get(random.nextInt(MESSAGES.size())));
    byte[] bytes = ForeignBytes.of(valid, random);
    ForeignBytes.read(bytes.length, () -> RelayCodec.decode(bytes))
        .ifPresent(ForeignFramePropertyTest::check);
  }

  private static void check(RelayMessage message) {
    if (message instanceof RelayMessage.Call call) {
      assertTrue(!call.timeout().isNegative() && call.timeout().compareTo(Duration.ofDays(1)) < 0);
      assertTrue(call.path().startsWith("/"), call.path());
      assertTrue(call.path().chars().allMatch(each -> each > ' ' && each < 0x7f), call.path());
      HttpMethod.valueOf(call.method());
      call.headers().forEach(new DefaultHttpHeaders()::set);
    } else if (message instanceof RelayMessage.Reply reply) {
      assertTrue(reply.status() >= 100 && reply.status() < 1_000);
      reply.headers().forEach(new DefaultHttpHeaders()::set);
    }
  }
}

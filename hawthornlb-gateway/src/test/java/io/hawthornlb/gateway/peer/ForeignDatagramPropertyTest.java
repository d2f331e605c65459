package io.hawthornlb.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.decode.ForeignBytes;
import io.hawthornlb.gateway.slot.SlotAnswer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against a foreign datagram that fails requests of all gateways. A duration out of range or
 * an unknown outcome was decoded without an error, and caused an exception later in the
 * coordinator.
 */
class ForeignDatagramPropertyTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration DAY = Duration.ofDays(1);

  @Property(tries = 3_000, seed = ForeignBytes.SEED)
  void decodesADatagramOrReportsItUnreadable(@ForAll long seed) {
    Random random = new Random(seed);
    List<PeerMessage> messages = new ArrayList<>(PeerCodecTest.messages());
    messages.addAll(PeerCodecTest.versionMessages());
    PeerMessage message = messages.get(random.nextInt(messages.size()));
    byte[] good = PeerCodec.encode(new PeerCodec.Envelope("a1", message));
    byte[] bytes = ForeignBytes.of(good, random);
    ForeignBytes.read(bytes.length, () -> PeerCodec.decode(bytes))
        .ifPresent(envelope -> check(envelope.message()));
  }

  private static void check(PeerMessage message) {
    if (message instanceof PeerMessage.Ask ask) {
      assertTrue(inRange(ask.request().maxWait()) && inRange(ask.request().patience()));
      NOW.plus(ask.request().maxWait());
    } else if (message instanceof PeerMessage.Told told) {
      assertTrue(told.load().running() >= 0 && told.load().waiting() >= 0);
    } else if (message instanceof PeerMessage.Held held) {
      assertTrue(held.partition() >= 0 && held.epoch() >= 0);
    } else if (message instanceof PeerMessage.Answer answer) {
      if (answer.answer() instanceof SlotAnswer.Waiting waiting) {
        assertTrue(inRange(waiting.atMost()));
      } else if (answer.answer() instanceof SlotAnswer.Refused refused) {
        assertTrue(inRange(refused.retryAfter()));
      }
    }
  }

  private static boolean inRange(Duration time) {
    return !time.isNegative() && time.compareTo(DAY) < 0;
  }
}

package io.hawthornlb.net.peer.support;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.net.codec.CodecException;
import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class PeerFrameCodecTest {

  @Property(tries = 300, seed = "20261202")
  void decodesEncodedFrame(
      @ForAll @LongRange(min = 0) long correlation,
      @ForAll FrameKind kind,
      @ForAll @Size(max = 100) byte[] content) {
    PeerFrame frame = new PeerFrame(correlation, kind, content);

    PeerFrame decoded = PeerFrameCodec.decode(PeerFrameCodec.encode(frame)).orElseThrow();

    assertEquals(correlation, decoded.correlation());
    assertEquals(kind, decoded.kind());
    assertArrayEquals(content, decoded.content());
  }

  @Property(tries = 500, seed = "20261202")
  void rejectsOrIgnoresOtherBytes(@ForAll @Size(max = 40) byte[] bytes) {
    try {
      PeerFrameCodec.decode(bytes);
    } catch (CodecException expected) {
      assertTrue(expected.getMessage().contains("frame") || expected.getCause() == null);
    }
  }

  @Test
  void helloIdentifiesSender() {
    InstanceId self = new InstanceId("entry-1");

    assertEquals(self, PeerHello.senderOf(PeerHello.frame(self)));
    assertThrows(CodecException.class, () -> PeerHello.senderOf(PeerFrame.probe()));
  }

  @Property(tries = 200, seed = "20261202")
  void backoffStaysWithinBounds(@ForAll long seed, @ForAll @IntRange(min = 1, max = 80) int tries) {
    Duration min = Duration.ofMillis(100);
    Duration max = Duration.ofSeconds(2);
    Backoff backoff = new Backoff(min, max, new Random(seed));

    for (int i = 0; i < tries; i++) {
      Duration next = backoff.next();
      assertTrue(next.compareTo(min.dividedBy(2)) >= 0 && next.compareTo(max) <= 0, "" + next);
    }
    backoff.reset();
    assertTrue(backoff.next().compareTo(min) <= 0);
  }
}

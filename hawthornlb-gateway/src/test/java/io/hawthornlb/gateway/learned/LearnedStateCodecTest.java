package io.hawthornlb.gateway.learned;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.learned.IncarnationPace;
import io.hawthornlb.core.learned.LearnedState;
import io.hawthornlb.core.learned.LoadCycle;
import io.hawthornlb.core.learned.TokenTimes;
import io.hawthornlb.gateway.decode.ForeignBytes;
import io.hawthornlb.gateway.decode.UnreadableException;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests of the encoding; other tests take their states from here. */
public class LearnedStateCodecTest {

  /** Returns a state with all figures and the paces of some endpoints. */
  public static LearnedState state(int endpoints) {
    LearnedState.Builder state =
        LearnedState.builder()
            .version(7)
            .tokenTimes(new TokenTimes(Duration.ofNanos(93_500), Duration.ofNanos(7_200_000)))
            .usualOutputTokens(143)
            .loadCycle(
                new LoadCycle(23.5, 91.25, Duration.ofMillis(3_600), Duration.ofMillis(2_400)));
    for (int i = 0; i < endpoints; i++) {
      double factor = (600 + i * 7 % 1_000) / 1_000.0;
      state.pace("server-" + i, new IncarnationPace(1_764_000_000_000L + i, factor));
    }
    return state.build();
  }

  @Test
  void decodesWhatItEncoded() {
    for (LearnedState state : List.of(state(62), state(0), LearnedState.EMPTY)) {
      byte[] bytes = LearnedStateCodec.encode(state);
      assertEquals(state, LearnedStateCodec.decode(state.version(), bytes));
    }
  }

  /** Guards against datagrams that are too large and parts that are useless without the others. */
  @Test
  void splitsByEndpoint() {
    LearnedState state = state(62);
    TreeMap<String, IncarnationPace> paces = new TreeMap<>();
    for (byte[] part : LearnedStateCodec.split(state, 500)) {
      assertTrue(part.length <= 500);
      LearnedState decoded = LearnedStateCodec.decode(7, part);
      assertEquals(state.loadCycle(), decoded.loadCycle());
      paces.putAll(decoded.paces());
    }
    assertEquals(state.paces(), paces);
  }

  /** Guards against a snapshot of a large fleet that exceeds the limit or loses its slow ones. */
  @Test
  void keepsTheMostUnusualPacesWithinTheLimit() {
    LearnedState state =
        LearnedState.builder()
            .pace("x".repeat(9_000), new IncarnationPace(1, 9))
            .pace("slow", new IncarnationPace(1, 5))
            .pace("unknown", new IncarnationPace(1, Double.NaN))
            .build();
    TreeMap<String, IncarnationPace> paces = new TreeMap<>(state(2_000).paces());
    paces.putAll(state.paces());
    byte[] bytes = LearnedStateCodec.encode(state.withPaces(paces));
    assertTrue(bytes.length <= LearnedStateCodec.MAX_BYTES, "bytes: " + bytes.length);
    LearnedState decoded = LearnedStateCodec.decode(1, bytes);
    assertEquals(5, decoded.paces().get("slow").factor());
    assertTrue(decoded.paces().size() > 250, "paces: " + decoded.paces().size());
  }

  /** Guards against a later encoding that is read as if it were this one. */
  @Test
  void refusesAnUnknownFormat() {
    byte[] bytes = LearnedStateCodec.encode(state(1));
    bytes[0]++;
    assertThrows(UnreadableException.class, () -> LearnedStateCodec.decode(7, bytes));
    byte[] large = new byte[LearnedStateCodec.MAX_BYTES + 1];
    assertThrows(UnreadableException.class, () -> LearnedStateCodec.decode(7, large));
  }

  /** Guards against foreign bytes that fail the receiver or yield figures out of range. */
  @Property(tries = 3_000, seed = ForeignBytes.SEED)
  void decodesAStateOrReportsItUnreadable(@ForAll long seed) {
    byte[] bytes = ForeignBytes.of(LearnedStateCodec.encode(state(5)), new Random(seed));
    ForeignBytes.read(bytes.length, () -> LearnedStateCodec.decode(7, bytes))
        .ifPresent(
            state ->
                assertTrue(
                    state.paces().values().stream()
                        .allMatch(pace -> pace.factor() >= 0.2 && pace.factor() <= 10)));
  }
}

package io.hawthornlb.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.VirtualLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SilenceWatchTest {

  private static final Duration SUSPICIOUS = Duration.ofMillis(400);
  private static final Duration STALLED = Duration.ofMillis(1_000);

  private final VirtualLoop time = new VirtualLoop();
  private final List<String> told = new ArrayList<>();
  private Instant lastHeard = time.instant();
  private final SilenceWatch watch =
      new SilenceWatch(
          time.loop(),
          time,
          new SilenceWatch.Limits(SUSPICIOUS, STALLED),
          () -> lastHeard,
          new SilenceWatch.Listener() {
            @Override
            public void suspicious(Duration silence) {
              told.add("suspicious");
            }

            @Override
            public boolean stalled(Duration silence) {
              told.add("stalled");
              return false;
            }
          });

  @Test
  void tellsOfAnEndpointThatIsSilent() {
    watch.start();
    time.advance(Duration.ofMillis(401));
    assertEquals(List.of("suspicious"), told);
    time.advance(Duration.ofMillis(600));
    assertEquals(List.of("suspicious", "stalled"), told);
  }

  /**
   * All streams of a gateway are cut and callers are refused for seconds, though the endpoints are
   * well. The process had stood still for 2.5 s ("silent for 2498 ms" of every stream within 20 ms,
   * and no suspicion of any before): it took the time in which it had read nothing for silence of
   * the endpoints, left them all and told their coordinator that they had failed.
   */
  @Test
  void takesItsOwnStandstillForNoSilence() {
    watch.start();
    time.advance(Duration.ofMillis(100));
    time.standStill(Duration.ofMillis(2_500));
    assertEquals(List.of(), told);
    lastHeard = time.instant();
    time.advance(Duration.ofMillis(399));
    assertEquals(List.of(), told);
    time.advance(Duration.ofMillis(602));
    assertEquals(List.of("suspicious", "stalled"), told, "an endpoint that is silent from then on");
  }

  @Test
  void findsAnEndpointThatIsSilentAfterAStandstill() {
    watch.start();
    time.standStill(Duration.ofMillis(2_500));
    time.advance(Duration.ofMillis(1_001));
    assertEquals(List.of("suspicious", "stalled"), told);
    assertTrue(watch.stalled());
  }
}

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
  private final List<String> notifications = new ArrayList<>();
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
              notifications.add("suspicious");
            }

            @Override
            public boolean stalled(Duration silence) {
              notifications.add("stalled");
              return false;
            }
          });

  @Test
  void reportsASilentEndpoint() {
    watch.start();
    time.advance(Duration.ofMillis(401));
    assertEquals(List.of("suspicious"), notifications);
    time.advance(Duration.ofMillis(600));
    assertEquals(List.of("suspicious", "stalled"), notifications);
  }

  /**
   * Guards against a process that takes its own pause for silence of the endpoints. The process had
   * been paused for 2.5 s ("silent for 2498 ms" was logged for every stream within 20 ms, without
   * an earlier suspicion). It abandoned all healthy endpoints, cut all streams, reported the
   * endpoints to their coordinator as failed, and callers were refused for seconds.
   */
  @Test
  void doesNotCountItsOwnPauseAsSilence() {
    watch.start();
    time.advance(Duration.ofMillis(100));
    time.advanceInOneStep(Duration.ofMillis(2_500));
    assertEquals(List.of(), notifications);
    lastHeard = time.instant();
    time.advance(Duration.ofMillis(399));
    assertEquals(List.of(), notifications);
    time.advance(Duration.ofMillis(602));
    assertEquals(
        List.of("suspicious", "stalled"),
        notifications,
        "a silence that starts after the pause must be reported");
  }

  @Test
  void detectsASilentEndpointAfterAPause() {
    watch.start();
    time.advanceInOneStep(Duration.ofMillis(2_500));
    time.advance(Duration.ofMillis(1_001));
    assertEquals(List.of("suspicious", "stalled"), notifications);
    assertTrue(watch.stalled());
  }
}

package io.hawthornlb.gateway.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class VersionHistoryTest {

  private static final Duration SPAN = Duration.ofSeconds(10);

  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private final EndpointDirectory directory = new EndpointDirectory();
  private final VersionHistory history = new VersionHistory(directory, () -> now);

  @Test
  void namesTheOnlyVersion() {
    offer("e1", "v1");
    offer("e2", "v1");
    history.restart();
    pass(SPAN);
    assertEquals(Optional.of("v1"), history.onlyVersion("engine", SPAN));
    assertEquals(Optional.empty(), history.onlyVersion("other", SPAN));
  }

  /** Guards against a process that has just started and takes what it sees for all there was. */
  @Test
  void namesNoneUntilTheListWasKnownForTheSpan() {
    offer("e1", "v1");
    history.restart();
    pass(SPAN.minusMillis(1));
    assertEquals(Optional.empty(), history.onlyVersion("engine", SPAN));
    pass(Duration.ofMillis(1));
    assertEquals(Optional.of("v1"), history.onlyVersion("engine", SPAN));
    history.restart();
    assertEquals(Optional.empty(), history.onlyVersion("engine", SPAN));
  }

  /** Guards against a stream that an endpoint began which has left since. */
  @Test
  void remembersAVersionThatHasLeft() {
    offer("e1", "v1");
    offer("e2", "v2");
    history.restart();
    pass(SPAN.multipliedBy(2));
    assertEquals(Optional.empty(), history.onlyVersion("engine", SPAN));
    directory.withdraw("e1");
    pass(SPAN);
    assertEquals(Optional.empty(), history.onlyVersion("engine", SPAN));
    pass(Duration.ofMillis(1));
    assertEquals(Optional.of("v2"), history.onlyVersion("engine", SPAN));
  }

  private void offer(String id, String version) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    directory.put(
        new EndpointRecord(
            id, "engine", address, "a", 8, false, EndpointIncarnation.UNKNOWN, version));
  }

  private void pass(Duration time) {
    now = now.plus(time);
  }
}

package io.hawthornlb.gateway.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
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
    assertEquals("v1", only("engine"));
    assertNull(only("other"));
  }

  /** Guards against a process that has just started and takes what it sees for all there was. */
  @Test
  void namesNoneUntilTheListWasKnownForTheSpan() {
    offer("e1", "v1");
    history.restart();
    pass(SPAN.minusMillis(1));
    assertNull(only("engine"));
    pass(Duration.ofMillis(1));
    assertEquals("v1", only("engine"));
    history.restart();
    assertNull(only("engine"));
  }

  /** Guards against a stream that an endpoint began which has left since. */
  @Test
  void remembersAVersionThatHasLeft() {
    offer("e1", "v1");
    offer("e2", "v2");
    history.restart();
    pass(SPAN.multipliedBy(2));
    assertNull(only("engine"));
    offer("e1", "v1", true);
    directory.withdraw("e1");
    pass(SPAN);
    assertNull(only("engine"));
    pass(Duration.ofMillis(1));
    assertEquals("v2", only("engine"));
  }

  private @Nullable String only(String service) {
    return history.onlyVersion(service, SPAN).version();
  }

  private void offer(String id, String version) {
    offer(id, version, false);
  }

  private void offer(String id, String version, boolean leaving) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    directory.put(
        new EndpointRecord(
            id, "engine", address, "a", 8, leaving, EndpointIncarnation.UNKNOWN, version));
  }

  private void pass(Duration time) {
    now = now.plus(time);
  }
}

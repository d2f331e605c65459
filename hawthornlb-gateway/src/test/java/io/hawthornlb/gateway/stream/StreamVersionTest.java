package io.hawthornlb.gateway.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class StreamVersionTest {

  private static final StreamOrigin V1 = new StreamOrigin("engine", "v1");

  private final EndpointDirectory directory = new EndpointDirectory();
  private final StreamVersion version = new StreamVersion(directory, null);

  @Test
  void isFixedByTheFirstEvent() {
    sendTo(endpoint("e1", 1, "v1"));
    assertTrue(version.accepts(endpoint("e2", 1, "v2")));
    assertTrue(version.admitsFirstEvent());
    assertEquals(Optional.of(V1), version.origin());
    assertTrue(version.mayContinue());
    assertTrue(version.accepts(endpoint("e3", 1, "v1")));
    assertFalse(version.accepts(endpoint("e2", 1, "v2")));
    assertFalse(version.accepts(new EndpointRecord("e4", "other", address(), "a", 8, false)));
  }

  /** Guards against events of a version that a restart under the endpoint's id brought. */
  @Test
  void refusesTheEventsOfAnEndpointThatRestartedWithAnotherVersion() {
    version.fix(V1);
    sendTo(endpoint("e1", 1, "v1"));
    directory.put(endpoint("e1", 2, "v2"));
    assertFalse(version.admitsFirstEvent());
  }

  @Test
  void countsAStreamForTheVersionOfTheRestartedEndpoint() {
    sendTo(endpoint("e1", 1, "v1"));
    directory.put(endpoint("e1", 2, "v2"));
    assertTrue(version.admitsFirstEvent());
    assertEquals(Optional.of(new StreamOrigin("engine", "v2")), version.origin());
  }

  /** Guards against a restart that the list shows only after the first event. */
  @Test
  void isNotContinuedIfARestartWithAnotherVersionBecomesKnownLate() {
    sendTo(endpoint("e1", 1, "v1"));
    assertTrue(version.admitsFirstEvent());
    directory.put(endpoint("e1", 2, "v2"));
    assertFalse(version.mayContinue());
    assertFalse(version.accepts(endpoint("e2", 1, "v1")));
    assertFalse(version.accepts(endpoint("e2", 1, "v2")));
  }

  /** Guards against an entry whose version changes although it names no other start. */
  @Test
  void isUnclearIfTheVersionChangesWithoutAStart() {
    sendTo(endpoint("e1", EndpointIncarnation.UNKNOWN, "v1"));
    directory.put(endpoint("e1", EndpointIncarnation.UNKNOWN, "v2"));
    assertTrue(version.admitsFirstEvent());
    assertEquals(Optional.empty(), version.origin());
    assertFalse(version.mayContinue());
  }

  @Test
  void continuesAfterItsEndpointHasLeft() {
    sendTo(endpoint("e1", 1, "v1"));
    assertTrue(version.admitsFirstEvent());
    directory.withdraw("e1");
    assertTrue(version.mayContinue());
  }

  private void sendTo(EndpointRecord endpoint) {
    directory.put(endpoint);
    version.sentTo(endpoint);
  }

  private static EndpointRecord endpoint(String id, long born, String version) {
    return new EndpointRecord(id, "engine", address(), "a", 8, false, born, version);
  }

  private static InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", 1);
  }
}

package io.hawthornlb.gateway.stream.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.gateway.stream.StreamId;
import io.hawthornlb.gateway.stream.StreamOrigin;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class OriginTableTest {

  private static final StreamId STREAM = new StreamId(1, 2);
  private static final StreamOrigin V1 = new StreamOrigin("engine", "v1");
  private static final StreamOrigin V2 = new StreamOrigin("engine", "v2");

  private final OriginTable table = new OriginTable();
  private final Instant now = Instant.parse("2026-01-01T00:00:00Z");

  @Test
  void forgetsAnOriginAfterTheRetention() {
    table.put(STREAM, V1, now);
    assertEquals(Optional.of(V1), table.find(STREAM, now.plus(OriginTable.RETENTION)));
    Instant later = now.plus(OriginTable.RETENTION).plusMillis(1);
    assertEquals(Optional.empty(), table.find(STREAM, later));
    assertEquals(0, table.size());
  }

  /** Guards against a stream that goes on at the wrong version, as its caller used its id twice. */
  @Test
  void usesNoOriginOfAnIdThatBeganTwoStreams() {
    table.put(STREAM, V1, now);
    table.put(STREAM, V2, now);
    table.put(STREAM, V2, now);
    assertTrue(table.contains(STREAM, now));
    assertEquals(Optional.empty(), table.find(STREAM, now));
  }

  /** Guards against an id that one workspace makes up to change the stream of another. */
  @Test
  void tellsTheSameIdOfTwoWorkspacesApart() {
    StreamId one = StreamId.of(new WorkspaceId("one"), "id");
    assertNotEquals(one, StreamId.of(new WorkspaceId("two"), "id"));
    assertNotEquals(one, StreamId.of(null, "id"));
    assertEquals(one, StreamId.of(new WorkspaceId("one"), "id"));
  }

  @Test
  void staysWithinItsBound() {
    for (int i = 0; i < 2 * OriginTable.MAX_ORIGINS; i++) {
      table.put(new StreamId(0, i), V1, now);
    }
    assertEquals(OriginTable.MAX_ORIGINS, table.size());
    StreamId newest = new StreamId(0, 2 * OriginTable.MAX_ORIGINS - 1);
    assertTrue(table.contains(newest, now));
  }
}

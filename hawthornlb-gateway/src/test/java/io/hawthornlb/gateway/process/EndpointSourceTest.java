package io.hawthornlb.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.endpoint.VersionHistory;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointSourceTest {

  private static final byte[] GOOD = {1};
  private static final byte[] BAD = {2};

  private final VirtualLoop time = new VirtualLoop();
  private final RecordingEventLog log = new RecordingEventLog();
  private final EndpointDirectory directory = new EndpointDirectory();
  private final EndpointSource source =
      new EndpointSource(
          new Formats(), directory, new VersionHistory(directory, time), time.loop(), time, log);

  private static final class Formats implements SourceFormats {

    @Override
    public String configTopic() {
      return "config";
    }

    @Override
    public String configKey() {
      return "config";
    }

    @Override
    public String endpointTopic() {
      return "endpoints";
    }

    @Override
    public RoutingConfig config(byte[] value) {
      throw new IllegalArgumentException("none here");
    }

    @Override
    public EndpointRecord endpoint(String id, byte[] value) {
      if (value[0] != 1) {
        throw new UnreadableException("Slots", "reason " + value[0]);
      }
      return new EndpointRecord(id, "engine", new InetSocketAddress("127.0.0.1", 1), "a", 8, false);
    }
  }

  /**
   * Guards against a request that is sent to an endpoint 2.3 s after its entry was removed. One
   * read of this gateway had failed just before, and the failure was taken for an outage in which
   * entries expire.
   */
  @Test
  void dropsARemovedEndpointImmediatelyAfterAFailedRead() {
    source.onAll(List.of(new KeyedRecord("e1", GOOD)));
    source.onStoreRecovered(Duration.ofMillis(100));
    source.onRecords(List.of(new KeyedRecord("e1", null)));
    assertEquals(List.of(), directory.usable("engine"));
  }

  /**
   * Guards against requests that go to an endpoint that left, and not to one that joined. Both
   * changes were in a part of the log that the store had deleted before the gateway read it.
   */
  @Test
  void detectsMissedChangesFromACompleteList() {
    source.onAll(List.of(new KeyedRecord("e1", GOOD)));
    source.onStoreRecovered(Duration.ofMillis(100));
    source.onAll(List.of(new KeyedRecord("e2", GOOD)));
    assertEquals(
        List.of("e2"), directory.usable("engine").stream().map(EndpointRecord::id).toList());
  }

  @Test
  void keepsARemovedEndpointTemporarilyAfterAnOutage() {
    source.onAll(List.of(new KeyedRecord("e1", GOOD)));
    source.onStoreRecovered(Duration.ofSeconds(3));
    source.onRecords(List.of(new KeyedRecord("e1", null)));
    assertEquals(1, directory.usable("engine").size());
    time.advance(Duration.ofMillis(1_700));
    assertEquals(List.of(), directory.usable("engine"));
  }

  /**
   * Guards against requests to an endpoint whose entry was overwritten by another writer. The
   * unreadable entry was ignored and the previous entry stayed in use, after an outage that was
   * longer than a leaving endpoint stays.
   */
  @Test
  void stopsUsingAnEndpointWhoseEntryIsUnreadable() {
    source.onAll(List.of(new KeyedRecord("e1", GOOD), new KeyedRecord("e2", GOOD)));
    source.onStoreRecovered(Duration.ofSeconds(3));
    source.onRecords(List.of(new KeyedRecord("e1", BAD)));
    assertEquals(List.of("e2"), ids());
    source.onRecords(List.of(new KeyedRecord("e1", GOOD)));
    assertEquals(List.of("e1", "e2"), ids());
    source.onAll(List.of(new KeyedRecord("e1", BAD), new KeyedRecord("e2", GOOD)));
    assertEquals(List.of("e2"), ids());
  }

  @Test
  void usesAnEntryThatBecomesReadable() {
    source.onAll(List.of(new KeyedRecord("", BAD), new KeyedRecord("e1", BAD)));
    assertEquals(List.of(), ids());
    source.onRecords(List.of(new KeyedRecord("e1", GOOD)));
    assertEquals(List.of("e1"), ids());
  }

  /**
   * Guards against a log that is filled by one unreadable entry, because each read of the list logs
   * it again.
   */
  @Test
  void logsAnUnreadableEntryOncePerReason() {
    for (int i = 0; i < 10; i++) {
      source.onAll(List.of(new KeyedRecord("e1", BAD)));
      source.onRecords(List.of(new KeyedRecord("e1", BAD)));
    }
    assertEquals(1, logged());
    source.onRecords(List.of(new KeyedRecord("e1", new byte[] {3})));
    assertEquals(2, logged());
    source.onRecords(List.of(new KeyedRecord("e1", GOOD), new KeyedRecord("e1", BAD)));
    assertEquals(3, logged());
  }

  @Test
  void limitsTheLogLinesForThousandsOfEntries() {
    for (int round = 0; round < 3; round++) {
      for (int i = 0; i < 10_000; i++) {
        source.onRecords(List.of(new KeyedRecord("bad" + i, BAD)));
      }
    }
    assertEquals(50, logged());
    time.advance(Duration.ofSeconds(61));
    source.onRecords(List.of(new KeyedRecord("another", BAD)));
    assertEquals(51, logged());
  }

  private long logged() {
    return log.events().stream().filter("endpoint.unreadable"::equals).count();
  }

  private List<String> ids() {
    return directory.usable("engine").stream().map(EndpointRecord::id).sorted().toList();
  }
}

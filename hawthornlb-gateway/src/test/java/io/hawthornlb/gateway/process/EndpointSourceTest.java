package io.hawthornlb.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.SilentEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointSourceTest {

  private final VirtualLoop time = new VirtualLoop();
  private final EndpointDirectory directory = new EndpointDirectory();
  private final EndpointSource source =
      new EndpointSource(new Formats(), directory, time.loop(), time, new SilentEventLog());

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
      return new EndpointRecord(id, "engine", new InetSocketAddress("127.0.0.1", 1), "a", 8, false);
    }
  }

  /**
   * An endpoint that has left gets a request 2.3 s after its entry was removed. One read of this
   * gateway had failed just before, which was taken for an outage in which entries lapse.
   */
  @Test
  void dropsARemovedEndpointAtOnceAfterAFailedRead() {
    source.onAll(List.of(new KeyedRecord("e1", new byte[1])));
    source.onRegained(Duration.ofMillis(100));
    source.onRecords(List.of(new KeyedRecord("e1", null)));
    assertEquals(List.of(), directory.usable("engine"));
  }

  /**
   * Requests go to an endpoint that left, and none to the one that came: both happened in a part of
   * the history that the store forgot before anybody heard of it.
   */
  @Test
  void findsInAWholeListWhatLeftAndWhatCameUnheard() {
    source.onAll(List.of(new KeyedRecord("e1", new byte[1])));
    source.onRegained(Duration.ofMillis(100));
    source.onAll(List.of(new KeyedRecord("e2", new byte[1])));
    assertEquals(
        List.of("e2"), directory.usable("engine").stream().map(EndpointRecord::id).toList());
  }

  @Test
  void keepsARemovedEndpointForAWhileAfterAnOutage() {
    source.onAll(List.of(new KeyedRecord("e1", new byte[1])));
    source.onRegained(Duration.ofSeconds(3));
    source.onRecords(List.of(new KeyedRecord("e1", null)));
    assertEquals(1, directory.usable("engine").size());
    time.advance(Duration.ofMillis(1_700));
    assertEquals(List.of(), directory.usable("engine"));
  }
}

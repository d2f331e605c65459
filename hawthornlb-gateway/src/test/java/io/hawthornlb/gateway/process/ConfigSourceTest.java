package io.hawthornlb.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.route.CallerLimits;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.time.InstantSource;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigSourceTest {

  private final RecordingEventLog log = new RecordingEventLog();
  private final ConfigHolder holder = new ConfigHolder();
  private final ConfigSource source =
      new ConfigSource(new Formats(), holder, InstantSource.system(), log);

  /** Decodes the value as the version; 0 is unreadable. */
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
      if (value[0] == 0) {
        throw new UnreadableException("Version", "not a whole number");
      }
      return new RoutingConfig(value[0], List.of(), CallerLimits.DEFAULT);
    }

    @Override
    public EndpointRecord endpoint(String id, byte[] value) {
      throw new UnreadableException("entry", "none here");
    }
  }

  @Test
  void keepsTheConfigurationInForceWhenTheNextOneCannotBeRead() {
    source.onAll(List.of(config(3)));
    source.onRecords(List.of(config(0)));
    source.onAll(List.of(config(0)));
    assertEquals(3, holder.current().orElseThrow().version());
    assertEquals(1, log.events().stream().filter("config.unreadable"::equals).count());
  }

  @Test
  void appliesAReadableVersionAfterAnUnreadableOne() {
    source.onAll(List.of(new KeyedRecord("other", new byte[] {0}), config(0)));
    assertTrue(holder.current().isEmpty());
    source.onRecords(List.of(config(0), config(4), config(0)));
    assertEquals(4, holder.current().orElseThrow().version());
  }

  /**
   * Guards against a removed route that is served again for seconds. A reloaded list, or a record
   * that was read late, contained an earlier version than the one in force.
   */
  @Test
  void ignoresAnEarlierVersionFromAnySource() {
    source.onAll(List.of(config(3)));
    source.onRecords(List.of(config(5)));
    source.onAll(List.of(config(3)));
    source.onRecords(List.of(config(4)));
    assertEquals(5, holder.current().orElseThrow().version());
    assertEquals(
        List.of("config.applied", "config.applied", "config.passed.over", "config.passed.over"),
        log.events());
  }

  /**
   * Guards against a 404 for every request because the configuration was removed or corrupted, or
   * the list was read empty.
   */
  @Test
  void keepsTheVersionInForceWhenNoneIsReadable() {
    source.onAll(List.of(config(3)));
    source.onAll(List.of());
    source.onRecords(List.of(new KeyedRecord("config", null), config(0)));
    assertEquals(3, holder.current().orElseThrow().version());
    assertEquals(List.of("config.applied", "config.unreadable"), log.events());
  }

  private static KeyedRecord config(int version) {
    return new KeyedRecord("config", new byte[] {(byte) version});
  }
}

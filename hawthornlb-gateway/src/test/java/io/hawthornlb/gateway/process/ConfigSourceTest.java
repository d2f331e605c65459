package io.hawthornlb.gateway.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.SilentEventLog;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.route.CallerLimits;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigSourceTest {

  private static final String KEY = "config";

  private final ConfigHolder holder = new ConfigHolder();
  private final SilentEventLog log = new SilentEventLog();
  private final ConfigSource source = new ConfigSource(new Formats(), holder, log);

  /** Reads a configuration whose one byte is its version; 0 cannot be read. */
  private static final class Formats implements SourceFormats {

    @Override
    public String configTopic() {
      return "config";
    }

    @Override
    public String configKey() {
      return KEY;
    }

    @Override
    public String endpointTopic() {
      return "endpoints";
    }

    @Override
    public RoutingConfig config(byte[] value) {
      if (value[0] == 0) {
        throw new IllegalArgumentException("no version");
      }
      return new RoutingConfig(value[0], List.of(), CallerLimits.DEFAULT);
    }

    @Override
    public EndpointRecord endpoint(String id, byte[] value) {
      throw new IllegalArgumentException("none here");
    }
  }

  /**
   * A route that was removed is served again for seconds. A list that was loaded anew, or a record
   * that was read late, held an earlier version than the one in force.
   */
  @Test
  void passesOverAnEarlierVersionWhereverItComesFrom() {
    source.onAll(List.of(version(3)));
    source.onRecords(List.of(version(5)));
    source.onAll(List.of(version(3)));
    source.onRecords(List.of(version(4)));
    assertEquals(5, holder.current().orElseThrow().version());
    assertEquals(
        List.of("config.applied", "config.applied", "config.passed.over", "config.passed.over"),
        log.events());
  }

  /** All requests get 404: the configuration was dropped or spoiled, or the list came empty. */
  @Test
  void keepsTheVersionInForceWhenNoneCanBeRead() {
    source.onAll(List.of(version(3)));
    source.onAll(List.of());
    source.onRecords(List.of(new KeyedRecord(KEY, null), version(0)));
    assertEquals(3, holder.current().orElseThrow().version());
    assertEquals(List.of("config.applied", "config.unreadable"), log.events());
  }

  private static KeyedRecord version(int number) {
    return new KeyedRecord(KEY, new byte[] {(byte) number});
  }
}

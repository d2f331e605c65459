package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.store.KeyedFollower;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.time.InstantSource;
import java.util.List;

/** Takes configurations from the store in force. */
final class ConfigSource implements KeyedFollower.Listener {

  private final SourceFormats formats;
  private final ConfigHolder holder;
  private final EventLog log;

  ConfigSource(SourceFormats formats, ConfigHolder holder, InstantSource clock, EventLog log) {
    this.formats = formats;
    this.holder = holder;
    this.log = log;
  }

  @Override
  public void onAll(List<KeyedRecord> records) {
    onRecords(records);
  }

  @Override
  public void onRecords(List<KeyedRecord> records) {
    for (KeyedRecord record : records) {
      byte[] value = record.value();
      if (record.key().equals(formats.configKey()) && value != null) {
        take(value);
      }
    }
  }

  private void take(byte[] value) {
    try {
      RoutingConfig config = formats.config(value);
      boolean newer = holder.offer(config);
      log.important("config", newer ? "applied" : "passed.over")
          .with("version", config.version())
          .write();
    } catch (IllegalArgumentException e) {
      // The former configuration stays in force.
      log.important("config", "unreadable").with("cause", e.getMessage()).write();
    }
  }
}

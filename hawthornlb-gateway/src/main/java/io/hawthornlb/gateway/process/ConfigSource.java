package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.decode.UnreadableRecords;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.store.KeyedFollower;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import java.time.InstantSource;
import java.util.List;

/** Applies configurations read from the store. */
final class ConfigSource implements KeyedFollower.Listener {

  private final SourceFormats formats;
  private final ConfigHolder holder;
  private final EventLog log;
  private final UnreadableRecords unreadable;

  ConfigSource(SourceFormats formats, ConfigHolder holder, InstantSource clock, EventLog log) {
    this.formats = formats;
    this.holder = holder;
    this.log = log;
    this.unreadable = new UnreadableRecords(log, clock, "config", "unreadable", "key");
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
        apply(value);
      }
    }
  }

  private void apply(byte[] value) {
    try {
      RoutingConfig config = formats.config(value);
      unreadable.forget(formats.configKey());
      boolean newer = holder.offer(config);
      log.important("config", newer ? "applied" : "passed.over")
          .with("version", config.version())
          .write();
    } catch (UnreadableException e) {
      // The previous configuration stays in force.
      unreadable.report(formats.configKey(), e);
    }
  }
}

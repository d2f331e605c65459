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
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Applies configurations read from the store. */
final class ConfigSource implements KeyedFollower.Listener {

  /** Maximum number of routes that one log line names. */
  private static final int MAX_NAMES = 20;

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

  /** Returns the names of the routes that a configuration no longer has; null if there is none. */
  private static @Nullable String removedRoutes(
      Optional<RoutingConfig> previous, RoutingConfig next) {
    Set<String> kept = next.routeNames();
    List<String> removed =
        previous.stream()
            .flatMap(config -> config.routeNames().stream())
            .filter(name -> !kept.contains(name))
            .sorted()
            .limit(MAX_NAMES)
            .toList();
    return removed.isEmpty() ? null : String.join(" ", removed);
  }

  private void apply(byte[] value) {
    try {
      RoutingConfig config = formats.config(value);
      unreadable.forget(formats.configKey());
      Optional<RoutingConfig> previous = holder.current();
      boolean newer = holder.offer(config);
      log.important("config", newer ? "applied" : "passed.over")
          .with("version", config.version())
          .with("removed", newer ? removedRoutes(previous, config) : null)
          .write();
    } catch (UnreadableException e) {
      // The previous configuration stays in force.
      unreadable.report(formats.configKey(), e);
    }
  }
}

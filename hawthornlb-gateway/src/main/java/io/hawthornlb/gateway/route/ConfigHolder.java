package io.hawthornlb.gateway.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Holds the newest configuration that this process has read.
 *
 * <p>A lower version never replaces a higher one. Reads of the log may lag, and a caller that has
 * observed a change must not be served by the previous routes again.
 */
public final class ConfigHolder {

  private final List<Consumer<RoutingConfig>> listeners = new ArrayList<>();
  private @Nullable RoutingConfig current;

  /** Returns the configuration in force; empty until one has been read. */
  public Optional<RoutingConfig> current() {
    return Optional.ofNullable(current);
  }

  /** Puts a configuration in force if it is newer than the current one; returns whether it was. */
  public boolean offer(RoutingConfig candidate) {
    RoutingConfig held = current;
    if (held != null && candidate.version() <= held.version()) {
      return false;
    }
    current = candidate;
    listeners.forEach(listener -> listener.accept(candidate));
    return true;
  }

  /** Adds a listener that is called after each change. */
  public void onChange(Consumer<RoutingConfig> listener) {
    listeners.add(listener);
  }
}

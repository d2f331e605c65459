package io.hawthornlb.gateway.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Holds the newest configuration that this process has seen.
 *
 * <p>A lower version never replaces a higher one: reads of the log may lag, and a caller that has
 * seen a change would be served by the former routes again.
 */
public final class ConfigHolder {

  private final List<Consumer<RoutingConfig>> listeners = new ArrayList<>();
  private @Nullable RoutingConfig current;

  /** Returns the configuration in force; empty until one was read. */
  public Optional<RoutingConfig> current() {
    return Optional.ofNullable(current);
  }

  /** Takes a configuration in force if it is newer; returns whether it was. */
  public boolean offer(RoutingConfig candidate) {
    RoutingConfig held = current;
    if (held != null && candidate.version() <= held.version()) {
      return false;
    }
    current = candidate;
    listeners.forEach(listener -> listener.accept(candidate));
    return true;
  }

  /** Calls a listener after each change. */
  public void onChange(Consumer<RoutingConfig> listener) {
    listeners.add(listener);
  }
}

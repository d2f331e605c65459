package io.hawthornlb.gateway.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The software versions that the list of endpoints has shown lately, also those that have left.
 *
 * <p>A process that has just started, or that has read the whole list again because changes of it
 * were missing, does not know which versions served before.
 */
public final class VersionHistory {

  /** Time for which a version that has left is remembered. */
  static final Duration KEPT = Duration.ofMinutes(10);

  private record ServiceVersion(String service, String version) {

    // Written by hand, because the JVM links the generated methods at run time, which takes some
    // milliseconds.
    @Override
    public boolean equals(Object other) {
      return other instanceof ServiceVersion each
          && service.equals(each.service)
          && version.equals(each.version);
    }

    @Override
    public int hashCode() {
      return 31 * service.hashCode() + version.hashCode();
    }
  }

  private final EndpointDirectory directory;
  private final InstantSource clock;
  private final Map<ServiceVersion, Instant> left = new HashMap<>();
  private Set<ServiceVersion> listed = Set.of();
  private Instant completeSince = Instant.MAX;

  /** Creates a history that follows the changes of a directory. */
  public VersionHistory(EndpointDirectory directory, InstantSource clock) {
    this.directory = directory;
    this.clock = clock;
    directory.onChange(this::update);
  }

  /** Called when the whole list was read; changes before this may be missing. */
  public void restart() {
    completeSince = clock.instant();
  }

  /**
   * Returns the version of a service if it was the only one for a time up to now; empty if there
   * were several or none, or if that is not known.
   */
  public Optional<String> onlyVersion(String service, Duration span) {
    Instant from = clock.instant().minus(span);
    if (completeSince.isAfter(from) || span.compareTo(KEPT) > 0) {
      return Optional.empty();
    }
    Set<String> versions = new HashSet<>();
    for (ServiceVersion each : listed) {
      if (each.service().equals(service)) {
        versions.add(each.version());
      }
    }
    left.forEach(
        (each, when) -> {
          if (each.service().equals(service) && !when.isBefore(from)) {
            versions.add(each.version());
          }
        });
    return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
  }

  private void update() {
    Instant now = clock.instant();
    Set<ServiceVersion> current = new HashSet<>();
    for (EndpointRecord each : directory.all()) {
      current.add(new ServiceVersion(each.service(), each.version()));
    }
    for (ServiceVersion each : listed) {
      if (!current.contains(each)) {
        left.put(each, now);
      }
    }
    left.values().removeIf(when -> when.isBefore(now.minus(KEPT)));
    listed = current;
  }
}

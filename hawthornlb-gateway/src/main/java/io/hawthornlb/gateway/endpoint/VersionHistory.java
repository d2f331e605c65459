package io.hawthornlb.gateway.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The software versions that the list of endpoints has shown lately, also those that have left.
 *
 * <p>A process that has just started, or that has read the whole list again because changes of it
 * were missing, does not know which versions served before.
 *
 * <p>An endpoint that was cut off from the list may serve on unlisted, for gateways that are cut
 * off with it. A version whose last endpoint did not announce that it leaves therefore counts as
 * serving for as long as it is remembered.
 */
public final class VersionHistory {

  /** Time for which a version that has left is remembered. */
  static final Duration KEPT = Duration.ofMinutes(20);

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

  /**
   * What the list has shown of a service.
   *
   * @param version the only version; null if that is not shown
   * @param reason why it is shown, or why not
   */
  public record Evidence(@Nullable String version, String reason) {

    private static Evidence none(String reason) {
      return new Evidence(null, reason);
    }
  }

  private final EndpointDirectory directory;
  private final InstantSource clock;

  /** Versions that have left, and until when they may have served. */
  private final Map<ServiceVersion, Instant> left = new HashMap<>();

  /** Listed versions, and whether all their endpoints have announced that they leave. */
  private Map<ServiceVersion, Boolean> listed = Map.of();

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
   * Finds the version of a service if it was the only one for a time up to now; none if there were
   * several or none, or if that is not known.
   */
  public Evidence onlyVersion(String service, Duration span) {
    Instant now = clock.instant();
    Instant from = now.minus(span);
    if (span.compareTo(KEPT) > 0) {
      return Evidence.none("streams may be older than what is remembered");
    }
    if (completeSince.isAfter(from)) {
      return Evidence.none("the list is not known for long enough");
    }
    Set<String> versions = new TreeSet<>();
    for (ServiceVersion each : listed.keySet()) {
      if (each.service().equals(service)) {
        versions.add(each.version());
      }
    }
    left.forEach(
        (each, until) -> {
          if (each.service().equals(service) && !until.isBefore(from)) {
            versions.add(each.version());
          }
        });
    return versions.size() == 1
        ? new Evidence(versions.iterator().next(), "only version for " + span.toMillis() + " ms")
        : Evidence.none("versions that may have begun it: " + versions);
  }

  private void update() {
    Instant now = clock.instant();
    Map<ServiceVersion, Boolean> current = new HashMap<>();
    for (EndpointRecord each : directory.all()) {
      ServiceVersion version = new ServiceVersion(each.service(), each.version());
      current.merge(version, each.leaving(), Boolean::logicalAnd);
    }
    listed.forEach(
        (each, announced) -> {
          if (!current.containsKey(each)) {
            left.put(each, announced ? now : now.plus(KEPT));
          }
        });
    left.values().removeIf(until -> until.isBefore(now.minus(KEPT)));
    listed = current;
  }
}

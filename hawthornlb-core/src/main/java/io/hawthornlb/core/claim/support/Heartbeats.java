package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.RenewalRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Tracks which instances still write to the stream of claims. Silence is measured in intervals of
 * this instance's own renewals, and not by the clock.
 *
 * <p>While the log is unavailable, no instance can renew. After a pause, an instance finds the last
 * records of all other instances old. If silence were measured by the clock, all instances would
 * take partitions from each other in both cases. So time counts only as far as it is covered by own
 * renewals that this instance has read back from the stream. Own renewals stop in an outage too,
 * and after a pause the instance reads the records of others before its own next renewal.
 */
final class Heartbeats {

  /** Number of silent intervals after which an instance is removed. */
  private static final int FORGET_AFTER = 1_000;

  /** Number of the longest renewal intervals to wait until all instances in service are known. */
  private static final int SETTLED_AFTER = 2;

  /**
   * Last heartbeat of an instance.
   *
   * @param receivedAt the covered time when the last record of the instance was read
   * @param receivedLive whether that record was read after the first own renewal, and so shows that
   *     the instance was alive while this instance was running
   * @param dataCentre the data centre of the instance
   * @param interval the renewal interval that the instance announced
   * @param leaving whether the instance announced that it leaves
   */
  private record Heartbeat(
      Duration receivedAt,
      boolean receivedLive,
      @Nullable DataCentre dataCentre,
      Duration interval,
      boolean leaving) {}

  private final InstanceId self;
  private final ClaimSettings settings;
  private final Map<InstanceId, Heartbeat> lastHeartbeats = new HashMap<>();
  private Set<InstanceId> listed = Set.of();
  private Duration coveredTime = Duration.ZERO;
  private long lastOwnSequence = -1;
  private @Nullable Instant lastOwnAt;

  Heartbeats(InstanceId self, ClaimSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /** Processes a record that was read from the stream. */
  void onRecord(LogRecord entry, Instant now) {
    InstanceId writer = entry.id().writer();
    if (writer.equals(self) && entry.body() instanceof RenewalRecord renewal) {
      onOwnRenewal(entry.id().sequence(), renewal.interval(), now);
    }
    boolean receivedLive = lastOwnAt != null;
    Heartbeat before = lastHeartbeats.get(writer);
    if (entry.body() instanceof RenewalRecord renewal) {
      boolean leaving = renewal.leaving() || (before != null && before.leaving());
      Duration interval = renewal.interval();
      lastHeartbeats.put(
          writer,
          new Heartbeat(coveredTime, receivedLive, renewal.dataCentre(), interval, leaving));
    } else if (before != null) {
      lastHeartbeats.put(
          writer,
          new Heartbeat(
              coveredTime, receivedLive, before.dataCentre(), before.interval(), before.leaving()));
    }
  }

  /** Sets the instances that the platform lists. An empty list carries no information. */
  void setListed(Set<InstanceId> instances) {
    listed = Set.copyOf(instances);
  }

  /** Returns when the last counted own renewal was read from the stream. */
  Optional<Instant> lastOwnAt() {
    return Optional.ofNullable(lastOwnAt);
  }

  /**
   * Returns whether own renewals cover enough time for every instance in service to have renewed.
   */
  boolean settled() {
    return lastOwnAt != null
        && coveredTime.compareTo(longestInterval().multipliedBy(SETTLED_AFTER)) >= 0;
  }

  /**
   * Returns the longest interval that any known instance announced, or the configured interval if
   * none is known.
   */
  Duration longestInterval() {
    return lastHeartbeats.values().stream()
        .map(Heartbeat::interval)
        .max(Duration::compareTo)
        .orElse(settings.renewalInterval());
  }

  /**
   * Returns whether an instance has written nothing for so long that other instances may claim its
   * partitions.
   */
  boolean silent(InstanceId instance) {
    if (instance.equals(self)) {
      return false;
    }
    boolean unlisted = !listed.isEmpty() && !listed.contains(instance);
    int intervals = unlisted ? settings.unlistedSilentAfter() : settings.silentAfter();
    return silentFor(lastHeartbeats.get(instance), intervals);
  }

  /** Returns the instances that renew and are not leaving. */
  Set<InstanceId> live() {
    Set<InstanceId> live = new HashSet<>();
    lastHeartbeats.forEach(
        (instance, heartbeat) -> {
          if (heartbeat.receivedLive() && !heartbeat.leaving() && !silent(instance)) {
            live.add(instance);
          }
        });
    return live;
  }

  /** Returns the data centre of an instance, if known. */
  Optional<DataCentre> dataCentre(InstanceId instance) {
    return Optional.ofNullable(lastHeartbeats.get(instance)).map(Heartbeat::dataCentre);
  }

  private void onOwnRenewal(long sequence, Duration interval, Instant now) {
    // A resent renewal appears twice in the stream, and renewals that waited through an outage
    // appear at the same moment. If they counted as elapsed time, all other instances would count
    // as silent at the end of the outage.
    boolean isSpaced = lastOwnAt == null || !now.isBefore(lastOwnAt.plus(interval.dividedBy(2)));
    if (sequence <= lastOwnSequence || !isSpaced) {
      return;
    }
    lastOwnSequence = sequence;
    coveredTime = lastOwnAt == null ? coveredTime : coveredTime.plus(interval);
    lastOwnAt = now;
    lastHeartbeats.values().removeIf(heartbeat -> silentFor(heartbeat, FORGET_AFTER));
  }

  /**
   * Returns whether an instance has been silent for a number of intervals. The instance may renew
   * less often than this one, so the interval that it announced counts if it is longer than the
   * configured interval. For an unknown instance, the longest announced interval counts.
   */
  private boolean silentFor(@Nullable Heartbeat heartbeat, int intervals) {
    Duration receivedAt = heartbeat == null ? Duration.ZERO : heartbeat.receivedAt();
    Duration longest = heartbeat == null ? longestInterval() : heartbeat.interval();
    if (longest.compareTo(settings.renewalInterval()) < 0) {
      longest = settings.renewalInterval();
    }
    return coveredTime.minus(receivedAt).compareTo(longest.multipliedBy(intervals)) >= 0;
  }
}

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
 * Who still writes to the stream of claims, measured against this instance's own renewals.
 *
 * <p>While the log is away nobody can renew, and an instance that was paused finds everybody's last
 * record old. Both would show as a fleet in which all take from each another. So time counts only
 * as far as own renewals cover it that were seen in the stream: these stop in an outage as well,
 * and after a pause the records of others are read before them.
 */
final class LifeSigns {

  /** Silent intervals after which an instance is forgotten. */
  private static final int FORGET_AFTER = 1_000;

  /** Intervals to listen for before the others are known. */
  private static final int SETTLED_AFTER = 2;

  /**
   * The last that was read of an instance.
   *
   * @param heardAt the covered time at its last record
   * @param heardHere whether that was after the first own renewal, so that it lived in this time
   */
  private record Sign(
      Duration heardAt,
      boolean heardHere,
      @Nullable DataCentre dataCentre,
      Duration interval,
      boolean leaving) {}

  private final InstanceId self;
  private final ClaimSettings settings;
  private final Map<InstanceId, Sign> signs = new HashMap<>();
  private Set<InstanceId> listed = Set.of();
  private Duration covered = Duration.ZERO;
  private long lastOwnSequence = -1;
  private @Nullable Instant lastOwnAt;

  LifeSigns(InstanceId self, ClaimSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /** Notes a record that was read from the stream. */
  void note(LogRecord entry, Instant now) {
    InstanceId writer = entry.id().writer();
    if (writer.equals(self) && entry.body() instanceof RenewalRecord renewal) {
      noteOwn(entry.id().sequence(), renewal.interval(), now);
    }
    boolean heardHere = lastOwnAt != null;
    Sign before = signs.get(writer);
    if (entry.body() instanceof RenewalRecord renewal) {
      boolean leaving = renewal.leaving() || (before != null && before.leaving());
      Duration interval = renewal.interval();
      signs.put(writer, new Sign(covered, heardHere, renewal.dataCentre(), interval, leaving));
    } else if (before != null) {
      signs.put(
          writer,
          new Sign(covered, heardHere, before.dataCentre(), before.interval(), before.leaving()));
    }
  }

  /** Notes the instances that the platform lists; an empty list says nothing. */
  void noteListed(Set<InstanceId> instances) {
    listed = Set.copyOf(instances);
  }

  /** Returns when the last own renewal was seen. */
  Optional<Instant> lastOwnAt() {
    return Optional.ofNullable(lastOwnAt);
  }

  /** Returns whether own renewals cover enough time for everyone in service to have renewed. */
  boolean settled() {
    return lastOwnAt != null
        && covered.compareTo(longestInterval().multipliedBy(SETTLED_AFTER)) >= 0;
  }

  /** Returns the longest interval that another instance announced. */
  Duration longestInterval() {
    return signs.values().stream()
        .map(Sign::interval)
        .max(Duration::compareTo)
        .orElse(settings.renewalInterval());
  }

  /** Returns whether an instance has written nothing for so long that others may try. */
  boolean silent(InstanceId instance) {
    if (instance.equals(self)) {
      return false;
    }
    boolean doubted = !listed.isEmpty() && !listed.contains(instance);
    int intervals = doubted ? settings.unlistedSilentAfter() : settings.silentAfter();
    return silentFor(signs.get(instance), intervals);
  }

  /** Returns the instances that renew and do not leave. */
  Set<InstanceId> live() {
    Set<InstanceId> live = new HashSet<>();
    signs.forEach(
        (instance, sign) -> {
          if (sign.heardHere() && !sign.leaving() && !silent(instance)) {
            live.add(instance);
          }
        });
    return live;
  }

  /** Returns where an instance runs. */
  Optional<DataCentre> dataCentre(InstanceId instance) {
    return Optional.ofNullable(signs.get(instance)).map(Sign::dataCentre);
  }

  private void noteOwn(long sequence, Duration interval, Instant now) {
    // A resent renewal stands twice, and two that waited through an outage come at once. Counted as
    // time, they would make everybody silent at the end of the outage.
    boolean isSpaced = lastOwnAt == null || !now.isBefore(lastOwnAt.plus(interval.dividedBy(2)));
    if (sequence <= lastOwnSequence || !isSpaced) {
      return;
    }
    lastOwnSequence = sequence;
    covered = lastOwnAt == null ? covered : covered.plus(interval);
    lastOwnAt = now;
    signs.values().removeIf(sign -> silentFor(sign, FORGET_AFTER));
  }

  /** An instance may renew less often than this one, so its own interval counts too. */
  private boolean silentFor(@Nullable Sign sign, int intervals) {
    Duration heardAt = sign == null ? Duration.ZERO : sign.heardAt();
    Duration longest = sign == null ? longestInterval() : sign.interval();
    if (longest.compareTo(settings.renewalInterval()) < 0) {
      longest = settings.renewalInterval();
    }
    return covered.minus(heardAt).compareTo(longest.multipliedBy(intervals)) >= 0;
  }
}

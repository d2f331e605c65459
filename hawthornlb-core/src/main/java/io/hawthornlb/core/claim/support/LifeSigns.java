package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.RenewalRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Who still writes to the stream of claims, measured against this instance's own renewals.
 *
 * <p>While the log is away nobody can renew, and an instance that was paused finds everybody's last
 * record old. Both would show as a fleet in which all take from each another. So silence is counted
 * in own renewals that were seen in the stream after the other's last record: these stop in an
 * outage as well, and after a pause the records of others are read before them.
 */
final class LifeSigns {

  /** Further renewals after which a silent instance is forgotten. */
  private static final int FORGET_AFTER = 1_000;

  private record Sign(long renewals, @Nullable DataCentre dataCentre, boolean leaving) {}

  private final InstanceId self;
  private final ClaimSettings settings;
  private final Map<InstanceId, Sign> signs = new HashMap<>();
  private Set<InstanceId> listed = Set.of();
  private long ownRenewals;
  private long lastOwnSequence = -1;
  private @Nullable Instant lastOwnAt;

  LifeSigns(InstanceId self, ClaimSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /** Notes a record that was read from the stream. */
  void note(LogRecord entry, Instant now, Duration interval) {
    InstanceId writer = entry.id().writer();
    if (writer.equals(self)) {
      noteOwn(entry, now, interval);
    }
    Sign before = signs.get(writer);
    DataCentre dataCentre = before == null ? null : before.dataCentre();
    boolean leaving = before != null && before.leaving();
    if (entry.body() instanceof RenewalRecord renewal) {
      dataCentre = renewal.dataCentre();
      leaving |= renewal.leaving();
    }
    signs.put(writer, new Sign(ownRenewals, dataCentre, leaving));
  }

  /** Notes the instances that the platform lists; an empty list says nothing. */
  void noteListed(Set<InstanceId> instances) {
    listed = Set.copyOf(instances);
  }

  /** Returns how many own renewals were seen. */
  long ownRenewals() {
    return ownRenewals;
  }

  /** Returns when the last own renewal was seen. */
  Optional<Instant> lastOwnAt() {
    return Optional.ofNullable(lastOwnAt);
  }

  /** Returns whether an instance has written nothing for so long that others may try. */
  boolean silent(InstanceId instance) {
    if (instance.equals(self)) {
      return false;
    }
    Sign sign = signs.get(instance);
    long since = ownRenewals - (sign == null ? 0 : sign.renewals());
    boolean doubted = !listed.isEmpty() && !listed.contains(instance);
    return since >= (doubted ? settings.unlistedSilentAfter() : settings.silentAfter());
  }

  /** Returns the instances that renew and do not leave. */
  Set<InstanceId> live() {
    Set<InstanceId> live = new TreeSet<>();
    signs.forEach(
        (instance, sign) -> {
          if (sign.dataCentre() != null && !sign.leaving() && !silent(instance)) {
            live.add(instance);
          }
        });
    return live;
  }

  /** Returns where an instance runs. */
  Optional<DataCentre> dataCentre(InstanceId instance) {
    return Optional.ofNullable(signs.get(instance)).map(Sign::dataCentre);
  }

  private void noteOwn(LogRecord entry, Instant now, Duration interval) {
    // A resent renewal stands twice, and two that waited through an outage come at once. Counted as
    // time, they would make everybody silent at the end of the outage.
    boolean isNew = entry.id().sequence() > lastOwnSequence;
    boolean isSpaced = lastOwnAt == null || !now.isBefore(lastOwnAt.plus(interval.dividedBy(2)));
    if (entry.body() instanceof RenewalRecord && isNew && isSpaced) {
      lastOwnSequence = entry.id().sequence();
      lastOwnAt = now;
      ownRenewals++;
      signs.values().removeIf(sign -> ownRenewals - sign.renewals() > FORGET_AFTER);
    }
  }
}

package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.runonce.EntriesRecorded;
import io.hawthornlb.core.runonce.EntryState;
import io.hawthornlb.core.runonce.KeyState;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.RunOnceKey;
import io.hawthornlb.core.runonce.RunOnceSettings;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Appends entries to the log in groups, one group at a time.
 *
 * <p>While a group is in flight, later entries are queued, and a newer state of a key replaces an
 * older one. Therefore an outage of the log grows neither the number of records nor the memory
 * beyond one entry for each key.
 */
final class EntryLog {

  private static final int MAX_GROUP_BYTES = 256 << 10;

  private final RunOnceSettings settings;
  private final Map<RunOnceKey, RunOnceEntry> queued = new LinkedHashMap<>();
  private List<RunOnceEntry> inFlight = List.of();
  private @Nullable Instant queuedSince;
  private @Nullable Instant inFlightSince;

  EntryLog(RunOnceSettings settings) {
    this.settings = settings;
  }

  void clear() {
    queued.clear();
    inFlight = List.of();
    queuedSince = null;
    inFlightSince = null;
  }

  boolean empty() {
    return queued.isEmpty() && inFlight.isEmpty();
  }

  void add(RunOnceEntry entry, Instant now) {
    RunOnceEntry existing = queued.get(entry.key());
    if (existing == null || entry.supersedes(existing)) {
      queued.put(entry.key(), entry);
    }
    queuedSince = queuedSince == null ? now : queuedSince;
  }

  /**
   * Returns for how long the group in flight has been missing from the log; zero if no group is in
   * flight.
   */
  Duration stalledFor(Instant now) {
    return inFlightSince == null ? Duration.ZERO : Duration.between(inFlightSince, now);
  }

  /**
   * Returns the next group to append, if one is due. A group is due when no group is in flight and
   * either {@code maxGroupEntries} entries are queued or the queued entries have waited for the
   * delay.
   */
  Optional<EntriesRecorded> flush(Epoch epoch, Duration delay, Instant now) {
    boolean full = queued.size() >= settings.maxGroupEntries();
    boolean old = queuedSince != null && !queuedSince.plus(delay).isAfter(now);
    if (!inFlight.isEmpty() || queued.isEmpty() || !full && !old) {
      return Optional.empty();
    }
    inFlight = take();
    inFlightSince = now;
    queuedSince = queued.isEmpty() ? null : now;
    return Optional.of(new EntriesRecorded(epoch, inFlight));
  }

  /**
   * Returns whether an append of a group need not be sent again, since the group is no longer in
   * flight.
   */
  boolean settled(List<RunOnceEntry> group) {
    return !inFlight.equals(group);
  }

  /** Returns the group in flight once all its entries are in the log, or an empty list. */
  List<RunOnceEntry> advance(RunOnceFold fold, Instant now) {
    if (!inFlight.stream().allMatch(entry -> isLogged(entry, fold, now))) {
      return List.of();
    }
    List<RunOnceEntry> logged = inFlight;
    inFlight = List.of();
    inFlightSince = null;
    return logged;
  }

  static boolean isLogged(RunOnceEntry entry, RunOnceFold fold, Instant now) {
    if (entry.expiresAt().isBefore(now)) {
      return true;
    }
    Optional<KeyState> known = fold.key(entry.key());
    return known.isPresent() && atLeast(known.get(), entry);
  }

  private static boolean atLeast(KeyState known, RunOnceEntry entry) {
    int order = known.attempt().compareTo(entry.attempt());
    EntryState state = entry.state();
    return order > 0 || order == 0 && known.state().compareTo(state) >= 0;
  }

  private List<RunOnceEntry> take() {
    List<RunOnceEntry> group = new ArrayList<>();
    Iterator<RunOnceEntry> entries = queued.values().iterator();
    int bytes = 0;
    while (entries.hasNext()
        && group.size() < settings.maxGroupEntries()
        && bytes < MAX_GROUP_BYTES) {
      RunOnceEntry entry = entries.next();
      group.add(entry);
      entries.remove();
      bytes += entry.result().map(result -> result.body().length()).orElse(0);
    }
    return List.copyOf(group);
  }
}

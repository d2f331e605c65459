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
 * Brings entries to the log in groups, one group at a time.
 *
 * <p>While a group is under way, later entries gather, and a newer state of a key replaces an older
 * one; so an outage grows neither the number of records nor the memory beyond one entry a key.
 */
final class EntryLog {

  private static final int MAX_GROUP_BYTES = 256 << 10;

  private final RunOnceSettings settings;
  private final Map<RunOnceKey, RunOnceEntry> gathered = new LinkedHashMap<>();
  private List<RunOnceEntry> sent = List.of();
  private @Nullable Instant oldestAt;
  private @Nullable Instant sentAt;

  EntryLog(RunOnceSettings settings) {
    this.settings = settings;
  }

  void clear() {
    gathered.clear();
    sent = List.of();
    oldestAt = null;
    sentAt = null;
  }

  boolean empty() {
    return gathered.isEmpty() && sent.isEmpty();
  }

  void add(RunOnceEntry entry, Instant now) {
    RunOnceEntry held = gathered.get(entry.key());
    if (held == null || entry.supersedes(held)) {
      gathered.put(entry.key(), entry);
    }
    oldestAt = oldestAt == null ? now : oldestAt;
  }

  /** Returns how long the log has not taken a group that was sent to it. */
  Duration stalled(Instant now) {
    return sentAt == null ? Duration.ZERO : Duration.between(sentAt, now);
  }

  /** Returns a group to append, if one is due. */
  Optional<EntriesRecorded> flush(Epoch epoch, Duration delay, Instant now) {
    boolean full = gathered.size() >= settings.groupEntries();
    boolean old = oldestAt != null && !oldestAt.plus(delay).isAfter(now);
    if (!sent.isEmpty() || gathered.isEmpty() || !full && !old) {
      return Optional.empty();
    }
    sent = take();
    sentAt = now;
    oldestAt = gathered.isEmpty() ? null : now;
    return Optional.of(new EntriesRecorded(epoch, sent));
  }

  /** Returns whether a group need not be sent again. */
  boolean settled(List<RunOnceEntry> group) {
    return !sent.equals(group);
  }

  /** Returns the entries that stand in the log now and did not before. */
  List<RunOnceEntry> advance(RunOnceFold fold, Instant now) {
    if (!sent.stream().allMatch(entry -> seen(entry, fold, now))) {
      return List.of();
    }
    List<RunOnceEntry> seen = sent;
    sent = List.of();
    sentAt = null;
    return seen;
  }

  static boolean seen(RunOnceEntry entry, RunOnceFold fold, Instant now) {
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
    Iterator<RunOnceEntry> entries = gathered.values().iterator();
    int bytes = 0;
    while (entries.hasNext() && group.size() < settings.groupEntries() && bytes < MAX_GROUP_BYTES) {
      RunOnceEntry entry = entries.next();
      group.add(entry);
      entries.remove();
      bytes += entry.result().map(result -> result.body().length()).orElse(0);
    }
    return List.copyOf(group);
  }
}

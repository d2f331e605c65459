package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.partition.PartitionFold;
import io.hawthornlb.core.runonce.KeyState;
import io.hawthornlb.core.runonce.OutcomeRead;
import io.hawthornlb.core.runonce.ReadOutcome;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.RunOnceSettings;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Appends entries again before the platform drops the record that contains them.
 *
 * <p>An entry is due when its record is older than half of the log retention.
 */
final class RunOnceMaintenance {

  private static final int MAX_REFRESHES = 4;
  private static final Duration SCAN_INTERVAL = Duration.ofSeconds(5);
  private static final Duration REFRESH_TIMEOUT = Duration.ofSeconds(30);

  private final StreamName stream;
  private final PartitionFold partition;
  private final RunOnceFold fold;
  private final EntryLog log;
  private final Duration refreshAge;
  private final Map<Long, Instant> refreshing = new HashMap<>();
  private Instant scannedAt = Instant.EPOCH;

  RunOnceMaintenance(
      StreamName stream,
      PartitionFold partition,
      RunOnceFold fold,
      EntryLog log,
      RunOnceSettings settings) {
    this.stream = stream;
    this.partition = partition;
    this.fold = fold;
    this.log = log;
    this.refreshAge = settings.logRetention().dividedBy(2);
  }

  void tick(Instant now, List<Effect> out) {
    if (now.isBefore(scannedAt.plus(SCAN_INTERVAL))) {
      return;
    }
    scannedAt = now;
    refreshing.values().removeIf(since -> since.plus(REFRESH_TIMEOUT).isBefore(now));
    long limit = partition.offsetAt(now.minus(refreshAge));
    for (long offset : fold.neededBelow(limit, MAX_REFRESHES)) {
      if (refreshing.size() < MAX_REFRESHES && refreshing.putIfAbsent(offset, now) == null) {
        out.add(new ReadOutcome(stream, offset));
      }
    }
  }

  void read(OutcomeRead read, Instant now) {
    if (refreshing.remove(read.offset()) == null) {
      return;
    }
    for (RunOnceEntry entry : read.entries().entries()) {
      Optional<KeyState> known = fold.key(entry.key());
      if (known.isPresent() && known.get().offset() == read.offset()) {
        log.add(entry, now);
      }
    }
  }
}

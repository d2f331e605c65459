package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.effect.SendPeerMessage;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.partition.PartitionOpened;
import io.hawthornlb.core.runonce.LateOutcome;
import io.hawthornlb.core.runonce.RunOnceEntry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Hands outcomes that came after the end of a term to the current holder, a few times.
 *
 * <p>The first message may reach a successor that has not yet read its own opening, and is then
 * passed over; the caller would never learn what its request has done.
 */
final class LateOutcomes {

  private static final int SENDS = 4;
  private static final Duration INTERVAL = Duration.ofSeconds(1);

  private final PartitionId partition;
  private List<Late> waiting = new ArrayList<>();

  LateOutcomes(PartitionId partition) {
    this.partition = partition;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  void add(RunOnceEntry entry) {
    waiting.add(new Late(entry, SENDS, Instant.MIN));
  }

  void send(@Nullable PartitionOpened opened, Instant now, List<Effect> out) {
    if (opened == null || waiting.isEmpty()) {
      return;
    }
    List<Late> left = new ArrayList<>();
    for (Late late : waiting) {
      if (late.dueAt().isAfter(now)) {
        left.add(late);
        continue;
      }
      out.add(new SendPeerMessage(opened.holder(), new LateOutcome(partition, late.entry())));
      if (late.sends() > 1) {
        left.add(new Late(late.entry(), late.sends() - 1, now.plus(INTERVAL)));
      }
    }
    waiting = left;
  }

  private record Late(RunOnceEntry entry, int sends, Instant dueAt) {}
}

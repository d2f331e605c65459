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
 * Sends outcomes that arrived after the end of a tenure to the current holder, several times each.
 *
 * <p>A successor ignores a message that it receives before it has read its own opening record. If
 * the outcome were sent only once, it could be lost and the caller would never learn what its
 * request did.
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

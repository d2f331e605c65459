package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.ClaimRecord;
import io.hawthornlb.core.claim.ReleaseRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.PartitionId;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Naive reference implementations of the claim fold, which replay the whole stream. */
final class NaiveClaims {

  private NaiveClaims() {}

  /** Replays the stream with all rules of validity. */
  static Map<PartitionId, Claim> replay(List<LogRecord> stream) {
    Map<PartitionId, Claim> holders = new TreeMap<>();
    Map<PartitionId, Epoch> epochs = new TreeMap<>();
    Set<RecordId> seen = new HashSet<>();
    for (LogRecord entry : stream) {
      if (!seen.add(entry.id())) {
        continue;
      }
      if (entry.body() instanceof ClaimRecord claim) {
        Epoch current = epochs.getOrDefault(claim.partition(), Epoch.NONE);
        Claim holder = holders.get(claim.partition());
        boolean allowed =
            claim.holder().equals(entry.id().writer())
                || (holder != null && holder.holder().equals(entry.id().writer()));
        if (allowed && current.equals(claim.superseded())) {
          epochs.put(claim.partition(), new Epoch(entry.offset()));
          holders.put(claim.partition(), granted(entry, claim));
        }
      } else if (entry.body() instanceof ReleaseRecord release) {
        Claim holder = holders.get(release.partition());
        if (holder != null
            && holder.holder().equals(entry.id().writer())
            && holder.epoch().equals(release.epoch())) {
          holders.remove(release.partition());
        }
      }
    }
    return holders;
  }

  /** Replays the stream without the check of the superseded epoch, so that the last claim wins. */
  static Map<PartitionId, Claim> lastClaimWins(List<LogRecord> stream) {
    Map<PartitionId, Claim> holders = new TreeMap<>();
    for (LogRecord entry : stream) {
      if (entry.body() instanceof ClaimRecord claim) {
        holders.put(claim.partition(), granted(entry, claim));
      }
    }
    return holders;
  }

  private static Claim granted(LogRecord entry, ClaimRecord claim) {
    return new Claim(
        claim.partition(), new Epoch(entry.offset()), claim.holder(), claim.witnesses());
  }
}

package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.ClaimRecord;
import io.hawthornlb.core.claim.ClaimSnapshot;
import io.hawthornlb.core.claim.ReleaseRecord;
import io.hawthornlb.core.claim.RenewalRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Random history of the stream of claims. Each claimant has read the stream only up to some earlier
 * offset, and acts on that stale state.
 */
final class ClaimHistory {

  static final int PARTITIONS = 3;
  private static final int CLAIMANTS = 4;

  private final Random random;
  private final List<LogRecord> stream = new ArrayList<>();
  private final List<ClaimFold> known = new ArrayList<>();
  private final long[] sequences = new long[CLAIMANTS];

  ClaimHistory(long seed, int steps) {
    this.random = new Random(seed);
    for (int claimant = 0; claimant < CLAIMANTS; claimant++) {
      known.add(new ClaimFold(PARTITIONS));
    }
    for (int step = 0; step < steps; step++) {
      step(random.nextInt(CLAIMANTS));
    }
    catchUp(0, stream.size());
    known.get(0).snapshot().forEach(part -> append(0, part));
  }

  List<LogRecord> stream() {
    return stream;
  }

  private void step(int claimant) {
    ClaimFold fold = known.get(claimant);
    int behind = stream.size() - (int) fold.nextOffset();
    catchUp(claimant, stream.size() - (behind == 0 ? 0 : random.nextInt(behind + 1)));
    PartitionId partition = new PartitionId(random.nextInt(PARTITIONS));
    Optional<Claim> claim = fold.current(partition);
    InstanceId self = id(claimant);
    switch (random.nextInt(8)) {
      case 0 ->
          append(claimant, new RenewalRecord(new DataCentre("dc"), Duration.ofSeconds(1), false));
      case 1 -> {
        for (ClaimSnapshot part : fold.snapshot()) {
          append(claimant, part);
        }
      }
      case 2 -> append(claimant, new ReleaseRecord(partition, fold.epoch(partition)));
      case 3 -> resendLast();
      default -> {
        boolean holds = claim.filter(each -> each.holder().equals(self)).isPresent();
        InstanceId holder = holds ? id(random.nextInt(CLAIMANTS)) : self;
        List<InstanceId> replicas = List.of(id(random.nextInt(CLAIMANTS)));
        append(claimant, new ClaimRecord(partition, holder, fold.epoch(partition), replicas));
      }
    }
  }

  private void catchUp(int claimant, int end) {
    ClaimFold fold = known.get(claimant);
    while (fold.nextOffset() < end) {
      fold.apply(stream.get((int) fold.nextOffset()));
    }
  }

  private void resendLast() {
    if (!stream.isEmpty()) {
      LogRecord entry = stream.get(stream.size() - 1 - random.nextInt(Math.min(10, stream.size())));
      add(entry.id(), entry.body());
    }
  }

  private void append(int claimant, RecordBody body) {
    add(new RecordId(id(claimant), sequences[claimant]++), body);
  }

  private void add(RecordId id, RecordBody body) {
    stream.add(new LogRecord(stream.size(), Instant.EPOCH.plusSeconds(stream.size()), id, body));
  }

  private static InstanceId id(int claimant) {
    return new InstanceId("n-" + claimant);
  }
}

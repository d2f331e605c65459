package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.ClaimRecord;
import io.hawthornlb.core.model.InstanceId;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Counts moves of partitions, and measures how long partitions are without a running holder. */
final class PlacementMeter {

  private final ClaimFleet fleet;
  private final long[] unheldTicks;
  private List<Optional<InstanceId>> holders;
  private final int recordsBefore;
  private final int renewalsBefore;
  private long moves;
  private long mostHeld;
  private long ticks;

  PlacementMeter(ClaimFleet fleet) {
    this.fleet = fleet;
    this.holders = fleet.holders();
    this.unheldTicks = new long[holders.size()];
    this.recordsBefore = fleet.log().size();
    this.renewalsBefore = fleet.renewals();
  }

  void run(Duration time) {
    for (long left = time.dividedBy(ClaimFleet.TICK); left > 0; left--) {
      tick();
    }
  }

  void tick() {
    fleet.tick();
    ticks++;
    List<Optional<InstanceId>> now = fleet.holders();
    for (int partition = 0; partition < now.size(); partition++) {
      moves += now.get(partition).equals(holders.get(partition)) ? 0 : 1;
      unheldTicks[partition] += fleet.isHeld(partition) ? 0 : 1;
    }
    holders = now;
    Map<Optional<InstanceId>, Long> held =
        now.stream().collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    mostHeld = Math.max(mostHeld, Collections.max(held.values()));
  }

  /**
   * Returns the cells of a table row: moves, claims, total seconds without a holder over all
   * partitions, longest time of one partition without a holder in seconds, largest number of
   * partitions of one instance, and renewals a second.
   */
  double[] values() {
    double second = ClaimFleet.TICK.toMillis() / 1_000.0;
    long all = 0;
    long longest = 0;
    for (long unheld : unheldTicks) {
      all += unheld;
      longest = Math.max(longest, unheld);
    }
    long claims =
        fleet.log().stream()
            .skip(recordsBefore)
            .filter(entry -> entry.body() instanceof ClaimRecord)
            .count();
    double renewals = (fleet.renewals() - renewalsBefore) / (ticks * second);
    return new double[] {moves, claims, all * second, longest * second, mostHeld, renewals};
  }
}

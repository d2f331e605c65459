package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Reports the partitions that the group assigns to this process and that the store refuses to it.
 *
 * <p>Jobs of such a partition are accepted, and nobody runs them. A single refusal is that of a
 * holder that another one has succeeded; many, or a long time, are a fault.
 */
final class HoldRefusals {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final EventLog log;
  private final GatewayMetrics metrics;
  private final InstantSource clock;
  private final Map<Integer, Refused> refused = new HashMap<>();

  private record Refused(Instant since, int count) {}

  HoldRefusals(EventLog log, GatewayMetrics metrics, InstantSource clock) {
    this.log = log;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Records that a partition was refused, with the epoch that was offered. */
  void refused(int partition, long epoch, long generation, String cause) {
    Instant now = clock.instant();
    Refused before = refused.getOrDefault(partition, new Refused(now, 0));
    Refused after = new Refused(before.since(), before.count() + 1);
    refused.put(partition, after);
    metrics.count("partitions", "refused");
    log.important("job", "partition.refused")
        .with("partition", partition)
        .with("epoch", epoch)
        .with("generation", generation)
        .with("refusals", after.count())
        .with("refusedMillis", Duration.between(after.since(), now).toMillis())
        .with("cause", cause)
        .write();
    update();
  }

  /** Records that this process holds a partition. */
  void held(int partition) {
    refused.remove(partition);
    update();
  }

  /** Forgets the partitions that the group no longer assigns to this process. */
  void retain(Collection<Integer> assigned) {
    refused.keySet().retainAll(assigned);
    update();
  }

  /** Updates the gauge of the longest time since the first refusal of a partition. */
  private void update() {
    Instant now = clock.instant();
    long longest =
        refused.values().stream()
            .mapToLong(each -> Duration.between(each.since(), now).toMillis())
            .max()
            .orElse(0);
    metrics.gauge("partitions.refused.seconds", "longest", longest / MILLIS_PER_SECOND);
  }
}

package io.hawthornlb.app.partition;

import io.hawthornlb.app.entry.EffectSink;
import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.ClaimView;
import io.hawthornlb.core.job.DispatcherLost;
import io.hawthornlb.core.job.PullJobItems;
import io.hawthornlb.core.job.ServiceBacklog;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.net.platform.LogPage;
import io.hawthornlb.net.platform.OffsetExpiredException;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The partitions that this instance holds or reads. Used on the decision loop. */
public final class PartitionHosts {

  private static final System.Logger LOG = System.getLogger(PartitionHosts.class.getName());
  private static final Duration UNUSED_AFTER = Duration.ofMinutes(2);
  private static final Duration OPEN_RETRY_DELAY = Duration.ofMillis(500);

  private final InstanceId self;
  private final ClaimView claims;
  private final PartitionContext context;
  private final PartitionEffects effects;
  private final Map<PartitionId, PartitionHost> hosts = new HashMap<>();
  private final Set<PartitionId> opening = new HashSet<>();

  /** Creates the registry; no partition is folded yet. */
  public PartitionHosts(
      InstanceId self,
      ClaimView claims,
      PartitionContext context,
      EffectSink outward,
      CallRunner calls) {
    this.self = self;
    this.claims = claims;
    this.context = context;
    this.effects =
        new PartitionEffects(outward, new RecordReader(context.log(), context.loop()), calls);
  }

  /**
   * Applies the current claims: opens partitions that this instance gained and tells the hosts of
   * partitions about claims that changed.
   */
  public void followClaims() {
    for (int i = 0; i < claims.partitions(); i++) {
      PartitionId id = new PartitionId(i);
      Optional<Claim> own = claims.current(id).filter(claim -> claim.holder().equals(self));
      PartitionHost host = hosts.get(id);
      if (host != null) {
        host.claimChanged(own);
      } else if (own.isPresent()) {
        open(id);
      }
    }
  }

  /** Runs the time-dependent work of all partitions, and closes unused ones. */
  public void tick() {
    hosts.values().forEach(PartitionHost::tick);
    closeUnused();
  }

  /** Advances run-once requests. Call this method every few milliseconds. */
  public void tickRunOnce() {
    hosts.values().forEach(PartitionHost::tickRunOnce);
  }

  /** Returns the host of a partition that this instance holds. */
  public Optional<PartitionHost> holding(PartitionId id) {
    return Optional.ofNullable(hosts.get(id)).filter(PartitionHost::claimed);
  }

  /**
   * Returns a host with complete state for reading. Returns empty while the state is incomplete,
   * and starts to fold the stream if this instance does not fold it yet.
   */
  public Optional<PartitionHost> reading(PartitionId id) {
    PartitionHost host = hosts.get(id);
    if (host == null) {
      open(id);
      return Optional.empty();
    }
    host.directory();
    return host.complete() ? Optional.of(host) : Optional.empty();
  }

  /** Returns the hosts of all partitions that this instance folds. */
  public Collection<PartitionHost> all() {
    return List.copyOf(hosts.values());
  }

  /** Returns the backlogs of the partitions held by this instance, without empty ones. */
  public Map<PartitionId, List<ServiceBacklog>> backlogs() {
    Map<PartitionId, List<ServiceBacklog>> backlogs = new HashMap<>();
    for (PartitionHost host : hosts.values()) {
      List<ServiceBacklog> backlog = host.backlog();
      if (!backlog.isEmpty()) {
        backlogs.put(host.id(), backlog);
      }
    }
    return backlogs;
  }

  /**
   * Passes a dispatcher's request for items to the partition whose backlog for the service is due
   * first.
   *
   * <p>The dispatcher names no partition, because the holder knows best which items are due first.
   */
  public void onPull(PullJobItems message) {
    Comparator<PartitionHost> byDue =
        Comparator.comparing(host -> earliestDue(host, message.service()));
    hosts.values().stream()
        .filter(host -> earliestDue(host, message.service()).isBefore(Instant.MAX))
        .min(byDue)
        .ifPresent(host -> host.on(message));
  }

  private static Instant earliestDue(PartitionHost host, ServiceName service) {
    return host.backlog().stream()
        .filter(entry -> entry.service().equals(service) && entry.items() > 0)
        .map(ServiceBacklog::earliestDue)
        .findFirst()
        .orElse(Instant.MAX);
  }

  /** Reports a lost dispatcher to all partitions, so that they dispatch its items again. */
  public void dispatcherLost(InstanceId dispatcher) {
    all().forEach(host -> host.on(new DispatcherLost(dispatcher)));
  }

  /** Stops accepting new work and writes everything that is pending to the log. */
  public void drain() {
    all().forEach(PartitionHost::drain);
  }

  /** Returns whether no partition has work left that must be written to the log. */
  public boolean drained() {
    return hosts.values().stream().allMatch(PartitionHost::drained);
  }

  private void open(PartitionId id) {
    if (!opening.add(id)) {
      return;
    }
    StreamName stream = StreamName.ofPartition(id);
    context
        .log()
        .client()
        .read(stream, 0, 1, Duration.ZERO)
        .whenComplete(
            (page, failure) -> context.loop().execute(() -> onFirstRead(id, page, failure)));
  }

  private void onFirstRead(PartitionId id, @Nullable LogPage page, @Nullable Throwable failure) {
    opening.remove(id);
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (page != null) {
      start(id, page.firstOffset());
    } else if (cause instanceof OffsetExpiredException expired) {
      start(id, expired.firstOffset());
    } else {
      context.loop().after(OPEN_RETRY_DELAY, this::followClaims);
    }
  }

  private void start(PartitionId id, long firstOffset) {
    if (hosts.containsKey(id)) {
      return;
    }
    hosts.put(id, new PartitionHost(id, firstOffset, context, effects, () -> restart(id)));
    LOG.log(System.Logger.Level.DEBUG, "partitions: started folding {0}", id.value());
    followClaims();
  }

  private void restart(PartitionId id) {
    LOG.log(
        System.Logger.Level.WARNING,
        "partitions: {0} fell behind the retained records, restarting the fold",
        id.value());
    PartitionHost behind = hosts.remove(id);
    if (behind != null) {
      behind.close();
    }
    open(id);
  }

  private void closeUnused() {
    Instant unusedSince = context.clock().instant().minus(UNUSED_AFTER);
    Consumer<PartitionHost> close =
        host -> {
          host.close();
          hosts.remove(host.id());
        };
    all().stream()
        .filter(host -> !host.claimed() && host.lastUse().isBefore(unusedSince))
        .forEach(close);
  }
}

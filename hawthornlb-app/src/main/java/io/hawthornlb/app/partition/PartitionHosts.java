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

/** The partitions that this instance holds or reads; used on the loop. */
public final class PartitionHosts {

  private static final System.Logger LOG = System.getLogger(PartitionHosts.class.getName());
  private static final Duration UNUSED_AFTER = Duration.ofMinutes(2);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

  private final InstanceId self;
  private final ClaimView claims;
  private final PartitionContext context;
  private final PartitionEffects effects;
  private final Map<PartitionId, PartitionHost> hosts = new HashMap<>();
  private final Set<PartitionId> opening = new HashSet<>();

  /** Creates the partitions of an instance, none of which is folded yet. */
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

  /** Follows the claims: takes up what this instance has won and gives up what it has lost. */
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

  /** Does what the passing of time calls for. */
  public void tick() {
    hosts.values().forEach(PartitionHost::tick);
    closeUnused();
  }

  /** Lets run-once requests go on; every few milliseconds. */
  public void tickRunOnce() {
    hosts.values().forEach(PartitionHost::tickRunOnce);
  }

  /** Returns the host of a partition that this instance holds. */
  public Optional<PartitionHost> holding(PartitionId id) {
    return Optional.ofNullable(hosts.get(id)).filter(PartitionHost::claimed);
  }

  /** Returns a host with whole state for reading, beginning to fold the stream if need be. */
  public Optional<PartitionHost> reading(PartitionId id) {
    PartitionHost host = hosts.get(id);
    if (host == null) {
      open(id);
      return Optional.empty();
    }
    host.directory();
    return host.complete() ? Optional.of(host) : Optional.empty();
  }

  /** Returns all partitions that are folded here. */
  public Collection<PartitionHost> all() {
    return List.copyOf(hosts.values());
  }

  /** Returns the items that wait at the partitions held here. */
  public Map<PartitionId, List<ServiceBacklog>> backlogs() {
    Map<PartitionId, List<ServiceBacklog>> waiting = new HashMap<>();
    for (PartitionHost host : hosts.values()) {
      List<ServiceBacklog> backlog = host.backlog();
      if (!backlog.isEmpty()) {
        waiting.put(host.id(), backlog);
      }
    }
    return waiting;
  }

  /**
   * Gives items to a steward, from one of the partitions that have some.
   *
   * <p>The steward names no partition: it asks the holder, which knows best what is due first.
   */
  public void pulled(PullJobItems message) {
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

  /** Takes notice that an entry is gone, so that its items are given out anew. */
  public void stewardLost(InstanceId steward) {
    all().forEach(host -> host.on(new DispatcherLost(steward)));
  }

  /** Takes nothing new, and brings everything into the log. */
  public void drain() {
    all().forEach(PartitionHost::drain);
  }

  /** Returns whether everything is in the log. */
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
            (page, failure) -> context.loop().execute(() -> firstRead(id, page, failure)));
  }

  private void firstRead(PartitionId id, @Nullable LogPage page, @Nullable Throwable failure) {
    opening.remove(id);
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (page != null) {
      start(id, page.firstOffset());
    } else if (cause instanceof OffsetExpiredException expired) {
      start(id, expired.firstOffset());
    } else {
      context.loop().after(RETRY_PAUSE, this::followClaims);
    }
  }

  private void start(PartitionId id, long firstOffset) {
    if (hosts.containsKey(id)) {
      return;
    }
    hosts.put(id, new PartitionHost(id, firstOffset, context, effects, () -> restart(id)));
    LOG.log(System.Logger.Level.DEBUG, "partitions: folding {0}", id.value());
    followClaims();
  }

  private void restart(PartitionId id) {
    LOG.log(System.Logger.Level.WARNING, "partitions: {0} fell behind, begins anew", id.value());
    PartitionHost behind = hosts.remove(id);
    if (behind != null) {
      behind.close();
    }
    open(id);
  }

  private void closeUnused() {
    Instant limit = context.clock().instant().minus(UNUSED_AFTER);
    Consumer<PartitionHost> close =
        host -> {
          host.close();
          hosts.remove(host.id());
        };
    all().stream().filter(host -> !host.claimed() && host.lastUse().isBefore(limit)).forEach(close);
  }
}

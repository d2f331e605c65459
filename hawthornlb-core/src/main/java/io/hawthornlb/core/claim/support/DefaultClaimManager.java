package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.ClaimManager;
import io.hawthornlb.core.claim.ClaimRecord;
import io.hawthornlb.core.claim.ClaimSnapshot;
import io.hawthornlb.core.claim.PlacementPolicy;
import io.hawthornlb.core.claim.ReleaseRecord;
import io.hawthornlb.core.claim.RendezvousHash;
import io.hawthornlb.core.claim.RenewalRecord;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.log.support.SnapshotSchedule;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Places partitions by rendezvous hashing over the instances that renew.
 *
 * <p>The manager claims a partition that this instance owns by the placement, if the partition has
 * no holder or its holder is silent. The manager hands over a held partition that another instance
 * owns. The manager claims a held partition again, with other replicas, when a replica has become
 * silent or a missing replica has become available.
 */
public final class DefaultClaimManager implements ClaimManager {

  private record Pending(RecordId id, Instant since) {}

  private final ClaimFold fold;
  private final RecordIdSource ids;
  private final DataCentre dataCentre;
  private final PlacementPolicy policy;
  private final InstantSource clock;
  private final ClaimSettings settings;
  private final Heartbeats heartbeats;
  private final ReplicaSelector replicaSelector;
  private final Placement placement;
  private final SnapshotSchedule<ClaimSnapshot> snapshots;
  private final Map<PartitionId, Pending> pending = new HashMap<>();
  private final Map<PartitionId, Instant> heldSince = new HashMap<>();
  private @Nullable Pending pendingRenewal;
  private Duration interval;
  private boolean leaving;

  /** Creates the manager of the instance that is the writer of the record ids. */
  public DefaultClaimManager(
      ClaimFold fold,
      RecordIdSource ids,
      DataCentre dataCentre,
      PlacementPolicy policy,
      InstantSource clock,
      ClaimSettings settings) {
    this.fold = fold;
    this.ids = ids;
    this.dataCentre = dataCentre;
    this.policy = policy;
    this.clock = clock;
    this.settings = settings;
    this.interval = settings.interval(1);
    this.heartbeats = new Heartbeats(ids.writer(), settings);
    this.replicaSelector = new ReplicaSelector(heartbeats);
    this.placement = new Placement(fold.partitions());
    this.snapshots = new SnapshotSchedule<>(fold, settings.snapshots(), clock);
  }

  @Override
  public void onRecord(LogRecord entry) {
    Instant now = clock.instant();
    heartbeats.onRecord(entry, now);
    if (pendingRenewal != null && pendingRenewal.id().equals(entry.id())) {
      pendingRenewal = null;
    }
    if (entry.body() instanceof ClaimRecord claim) {
      onClaimChange(claim.partition(), entry.id(), now);
    } else if (entry.body() instanceof ReleaseRecord release) {
      onClaimChange(release.partition(), entry.id(), now);
    }
  }

  @Override
  public void onListed(Set<InstanceId> listed) {
    heartbeats.setListed(listed);
  }

  @Override
  public List<AppendRecord> onTick() {
    Instant now = clock.instant();
    Set<InstanceId> live = live();
    interval = interval(live.size());
    List<AppendRecord> effects = new ArrayList<>();
    if (renewalDue(now)) {
      AppendRecord renewal = append(new RenewalRecord(dataCentre, interval, leaving));
      pendingRenewal = new Pending(renewal.id(), now);
      effects.add(renewal);
    }
    if (fold.complete() && (leaving || heartbeats.settled())) {
      decideAll(now, live, effects);
      snapshots
          .onTick(isPreferredSnapshotWriter(StreamName.CLAIMS))
          .forEach(part -> effects.add(append(part)));
    }
    return effects;
  }

  @Override
  public List<AppendRecord> stop() {
    leaving = true;
    pendingRenewal = null;
    return onTick();
  }

  @Override
  public boolean stopped() {
    return leaving && held().isEmpty();
  }

  @Override
  public Set<InstanceId> live() {
    Set<InstanceId> live = heartbeats.live();
    if (leaving) {
      live.remove(ids.writer());
    } else {
      live.add(ids.writer());
    }
    return live;
  }

  @Override
  public boolean isPreferredSnapshotWriter(StreamName stream) {
    long key = stream.value().hashCode();
    return new RendezvousHash(live()).owner(key).equals(Optional.of(ids.writer()));
  }

  private boolean renewalDue(Instant now) {
    if (pendingRenewal != null) {
      return !now.isBefore(pendingRenewal.since().plus(settings.appendTimeout()));
    }
    Optional<Instant> last = heartbeats.lastOwnAt();
    return leaving || last.isEmpty() || !now.isBefore(last.get().plus(interval));
  }

  /**
   * Returns the renewal interval of this instance. An instance that has just started does not know
   * the size of the fleet, so it uses the longest interval that another instance has announced if
   * that interval is longer.
   */
  private Duration interval(int instances) {
    Duration own = settings.interval(instances);
    Duration longest = heartbeats.longestInterval();
    return heartbeats.settled() || own.compareTo(longest) > 0 ? own : longest;
  }

  private void decideAll(Instant now, Set<InstanceId> live, List<AppendRecord> effects) {
    placement.update(leaving ? live : policy.members(live, now));
    pending.values().removeIf(each -> !now.isBefore(each.since().plus(settings.appendTimeout())));
    for (int number = 0; number < fold.partitions(); number++) {
      PartitionId partition = new PartitionId(number);
      if (!pending.containsKey(partition)) {
        decide(partition, live, now).ifPresent(body -> effects.add(appendPending(partition, body)));
      }
    }
  }

  private Optional<RecordBody> decide(PartitionId partition, Set<InstanceId> live, Instant now) {
    Optional<InstanceId> owner = placement.owner(partition);
    Optional<Claim> claim = fold.current(partition);
    boolean isOwner = owner.equals(Optional.of(ids.writer()));
    if (claim.isPresent() && claim.get().holder().equals(ids.writer())) {
      return isOwner ? replaceReplicas(claim.get(), live) : moveAway(claim.get(), owner, live, now);
    }
    boolean isFree = claim.isEmpty() || heartbeats.silent(claim.get().holder());
    return isOwner && isFree ? Optional.of(claim(partition, ids.writer(), live)) : Optional.empty();
  }

  private Optional<RecordBody> replaceReplicas(Claim claim, Set<InstanceId> live) {
    boolean isIntact = live.containsAll(claim.witnesses());
    if (isIntact && claim.witnesses().size() == ReplicaSelector.REPLICAS) {
      return Optional.empty();
    }
    List<InstanceId> best = replicaSelector.select(claim.partition(), ids.writer(), live);
    int wanted = claim.witnesses().size() + (isIntact ? 1 : 0);
    return best.size() >= wanted
        ? Optional.of(claim(claim.partition(), ids.writer(), live))
        : Optional.empty();
  }

  private Optional<RecordBody> moveAway(
      Claim claim, Optional<InstanceId> owner, Set<InstanceId> live, Instant now) {
    if (owner.isPresent() && live.contains(owner.get())) {
      return leaving || heldLongEnough(claim.partition(), now)
          ? Optional.of(claim(claim.partition(), owner.get(), live))
          : Optional.empty();
    }
    return leaving
        ? Optional.of(new ReleaseRecord(claim.partition(), claim.epoch()))
        : Optional.empty();
  }

  private boolean heldLongEnough(PartitionId partition, Instant now) {
    Instant since = heldSince.getOrDefault(partition, Instant.MIN);
    return since.equals(Instant.MIN) || !now.isBefore(since.plus(settings.shortestHold()));
  }

  private ClaimRecord claim(PartitionId partition, InstanceId holder, Set<InstanceId> live) {
    List<InstanceId> replicas = replicaSelector.select(partition, holder, live);
    return new ClaimRecord(partition, holder, fold.epoch(partition), replicas);
  }

  private AppendRecord appendPending(PartitionId partition, RecordBody body) {
    AppendRecord effect = append(body);
    pending.put(partition, new Pending(effect.id(), clock.instant()));
    return effect;
  }

  private AppendRecord append(RecordBody body) {
    return new AppendRecord(StreamName.CLAIMS, ids.next(), body);
  }

  private void onClaimChange(PartitionId partition, RecordId id, Instant now) {
    Pending own = pending.get(partition);
    if (own != null && own.id().equals(id)) {
      pending.remove(partition);
    }
    if (partition.value() < fold.partitions() && isHeld(partition)) {
      heldSince.putIfAbsent(partition, now);
    } else {
      heldSince.remove(partition);
    }
  }

  private List<PartitionId> held() {
    List<PartitionId> held = new ArrayList<>();
    for (int number = 0; number < fold.partitions(); number++) {
      PartitionId partition = new PartitionId(number);
      if (isHeld(partition)) {
        held.add(partition);
      }
    }
    return held;
  }

  private boolean isHeld(PartitionId partition) {
    return fold.current(partition).filter(claim -> claim.holder().equals(ids.writer())).isPresent();
  }
}

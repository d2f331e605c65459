package io.hawthornlb.core.runonce.support;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.partition.PartitionFold;
import io.hawthornlb.core.partition.support.ResentAppends;
import io.hawthornlb.core.runonce.ReplicaContents;
import io.hawthornlb.core.runonce.ReplicaSet;
import io.hawthornlb.core.runonce.ReplicaTable;
import io.hawthornlb.core.runonce.ReplicasNamed;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.RunOnceSettings;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * State of a holder during one epoch. Recovers what ran under earlier epochs, then names the
 * replicas of its own epoch.
 *
 * <p>The holder runs no request before it has read the record that names its replicas in the
 * stream.
 */
final class HolderTenure {

  private static final Duration INTERVAL_WHEN_READY = Duration.ofSeconds(5);

  private final Claim claim;
  private final PartitionFold partition;
  private final RunOnceFold fold;
  private final RecordIdSource ids;
  private final RunOnceSettings settings;
  private final ResentAppends appends;
  private final EntryLog log;
  private final ReplicaRecovery recovery;
  private final ReplicaClient client;
  private final Instant startedAt;
  private final Optional<Instant> inheritedUnknownUntil;
  private final List<ReplicaSet> inheritedSets;
  private final List<RunOnceEntry> recovered = new ArrayList<>();
  private @Nullable ReplicasNamed requested;
  private long namedAfterOpeningAt;

  HolderTenure(
      Claim claim,
      PartitionFold partition,
      RunOnceFold fold,
      ReplicaTable table,
      RecordIdSource ids,
      RunOnceSettings settings,
      ResentAppends appends,
      EntryLog log,
      Instant now) {
    this.claim = claim;
    this.partition = partition;
    this.fold = fold;
    this.ids = ids;
    this.settings = settings;
    this.appends = appends;
    this.log = log;
    this.startedAt = now;
    this.namedAfterOpeningAt = partition.openedAt();
    this.inheritedUnknownUntil =
        fold.replicasNamed()
            .flatMap(ReplicasNamed::unknownUntil)
            .filter(until -> until.isAfter(now));
    this.inheritedSets =
        inheritedUnknownUntil.isEmpty() ? List.of() : fold.replicasNamed().get().unresolved();
    InstanceId self = claim.holder();
    this.recovery =
        new ReplicaRecovery(self, claim.partition(), claim.epoch(), table, earlierSets());
    this.client =
        new ReplicaClient(
            self, claim.partition(), claim.epoch(), table, claim.witnesses(), tolerance());
  }

  Epoch epoch() {
    return claim.epoch();
  }

  ReplicaClient client() {
    return client;
  }

  /**
   * Returns whether requests may run: this holder's own record that names its replicas is in the
   * log.
   */
  boolean ready() {
    return fold.replicasNamed().filter(named -> named.epoch().equals(claim.epoch())).isPresent();
  }

  /** Returns whether recovery has lasted too long for callers to wait for it. */
  boolean recoveryTooLong(Instant now) {
    return startedAt.plus(settings.durabilityTimeout()).isBefore(now);
  }

  /**
   * Returns whether a key that is unknown here may have run under an epoch that is not recovered.
   */
  boolean unknownMayHaveRun(Instant now) {
    return fold.replicasNamed()
        .flatMap(ReplicasNamed::unknownUntil)
        .filter(until -> until.isAfter(now))
        .isPresent();
  }

  void collected(ReplicaContents contents, Instant now, List<Effect> out) {
    take(recovery.collected(contents, out), now);
  }

  void tick(Instant now, List<Effect> out) {
    take(recovery.collectOwn(), now);
    recovery.requestContents(ready() ? INTERVAL_WHEN_READY : settings.resendInterval(), now, out);
    recovered.removeIf(entry -> EntryLog.isLogged(entry, fold, now));
    boolean timedOut = !startedAt.plus(settings.recoveryTimeout()).isAfter(now);
    boolean decided = recovery.unresolved().isEmpty() || timedOut;
    if (decided && recovered.isEmpty()) {
      nameReplicas(now, out);
    }
    if (ready() && recovery.unresolved().isEmpty()) {
      client.settled(claim.epoch());
    }
  }

  private void take(List<RunOnceEntry> entries, Instant now) {
    recovered.addAll(entries);
    entries.forEach(entry -> log.add(entry, now));
  }

  private void nameReplicas(Instant now, List<Effect> out) {
    List<ReplicaSet> unresolved = recovery.unresolved();
    boolean repeat = partition.openedAt() != namedAfterOpeningAt;
    boolean changed = requested == null || !requested.unresolved().equals(unresolved);
    if (!changed && !repeat) {
      return;
    }
    namedAfterOpeningAt = partition.openedAt();
    requested =
        new ReplicasNamed(
            claim.epoch(),
            claim.holder(),
            claim.witnesses(),
            tolerance(),
            unresolved,
            unknownUntil(unresolved, now));
    StreamName stream = StreamName.ofPartition(claim.partition());
    ReplicasNamed named = requested;
    appends.add(new AppendRecord(stream, ids.next(), named), () -> isNamed(named), now, out);
  }

  private int tolerance() {
    return Math.min(settings.replicaTolerance(), claim.witnesses().size() / 3);
  }

  private boolean isNamed(ReplicasNamed named) {
    return fold.replicasNamed().filter(named::equals).isPresent();
  }

  /**
   * Returns the time until which a key that is not in the log must not run, or empty if every
   * earlier epoch is recovered.
   *
   * <p>A holder and its replicas that are cut off together continue without the log for a limited
   * time. New keys may be recorded there after this instance has taken over. The returned time
   * allows for this limit and for the time for which such a key is kept.
   */
  private Optional<Instant> unknownUntil(List<ReplicaSet> unresolved, Instant now) {
    if (unresolved.isEmpty()) {
      return Optional.empty();
    }
    if (requested != null && requested.unknownUntil().isPresent()) {
      return requested.unknownUntil();
    }
    if (inheritedSets.containsAll(unresolved)) {
      return inheritedUnknownUntil;
    }
    return Optional.of(now.plus(settings.keyRetention()).plus(settings.maxReplicaOnly()));
  }

  private List<ReplicaSet> earlierSets() {
    List<ReplicaSet> sets = new ArrayList<>(inheritedSets);
    if (!fold.released()) {
      fold.replicasNamed()
          .map(ReplicasNamed::set)
          .filter(set -> !set.members().isEmpty())
          .ifPresent(sets::add);
    }
    return sets;
  }
}

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
 * One term of a holder: recovers what ran under earlier epochs, then names its witnesses.
 *
 * <p>Nothing is run before the record that names them is seen in the stream.
 */
final class HolderTerm {

  private static final Duration SLOW_INTERVAL = Duration.ofSeconds(5);

  private final Claim claim;
  private final PartitionFold partition;
  private final RunOnceFold fold;
  private final RecordIdSource ids;
  private final RunOnceSettings settings;
  private final ResentAppends appends;
  private final EntryLog log;
  private final ReplicaRecovery recovery;
  private final ReplicaClient client;
  private final Instant begunAt;
  private final Optional<Instant> inherited;
  private final List<ReplicaSet> inheritedSets;
  private final List<RunOnceEntry> recovered = new ArrayList<>();
  private @Nullable ReplicasNamed requested;
  private long roundAt;

  HolderTerm(
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
    this.begunAt = now;
    this.roundAt = partition.openedAt();
    this.inherited =
        fold.replicasNamed()
            .flatMap(ReplicasNamed::unknownUntil)
            .filter(until -> until.isAfter(now));
    this.inheritedSets = inherited.isEmpty() ? List.of() : fold.replicasNamed().get().unresolved();
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

  /** Returns whether requests may be run: the own record that names the witnesses is in the log. */
  boolean ready() {
    return fold.replicasNamed().filter(named -> named.epoch().equals(claim.epoch())).isPresent();
  }

  /** Returns whether recovery has lasted too long for callers to wait for it. */
  boolean slow(Instant now) {
    return begunAt.plus(settings.durabilityTimeout()).isBefore(now);
  }

  /** Returns whether a key that nobody knows may have run under an epoch that is not recovered. */
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
    recovery.ask(ready() ? SLOW_INTERVAL : settings.resendInterval(), now, out);
    recovered.removeIf(entry -> EntryLog.seen(entry, fold, now));
    boolean timedOut = !begunAt.plus(settings.recoveryTimeout()).isAfter(now);
    boolean decided = recovery.unresolved().isEmpty() || timedOut;
    if (decided && recovered.isEmpty()) {
      name(now, out);
    }
    if (ready() && recovery.unresolved().isEmpty()) {
      client.settled(claim.epoch());
    }
  }

  private void take(List<RunOnceEntry> entries, Instant now) {
    recovered.addAll(entries);
    entries.forEach(entry -> log.add(entry, now));
  }

  private void name(Instant now, List<Effect> out) {
    List<ReplicaSet> unresolved = recovery.unresolved();
    boolean repeat = partition.openedAt() != roundAt;
    boolean changed = requested == null || !requested.unresolved().equals(unresolved);
    if (!changed && !repeat) {
      return;
    }
    roundAt = partition.openedAt();
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
    appends.add(new AppendRecord(stream, ids.next(), named), () -> seen(named), now, out);
  }

  private int tolerance() {
    return Math.min(settings.witnessTolerance(), claim.witnesses().size() / 3);
  }

  private boolean seen(ReplicasNamed named) {
    return fold.replicasNamed().filter(named::equals).isPresent();
  }

  /**
   * Returns until when a key that is not known must not run.
   *
   * <p>A holder and its witnesses that are cut off together go on for a while without the log, so
   * keys may be made there after this instance has taken over. That while is bounded, and each key
   * is remembered for a bounded time after it.
   */
  private Optional<Instant> unknownUntil(List<ReplicaSet> unresolved, Instant now) {
    if (unresolved.isEmpty()) {
      return Optional.empty();
    }
    if (requested != null && requested.unknownUntil().isPresent()) {
      return requested.unknownUntil();
    }
    if (inheritedSets.containsAll(unresolved)) {
      return inherited;
    }
    return Optional.of(now.plus(settings.keyRetention()).plus(settings.maxWitnessOnly()));
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

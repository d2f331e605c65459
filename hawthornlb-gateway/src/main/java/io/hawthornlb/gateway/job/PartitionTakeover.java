package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.FencedWriter;
import io.hawthornlb.gateway.store.StoreException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Takes a partition over that the group assigns to this process: finds an epoch above all those of
 * former holders, and claims it.
 *
 * <p>A store outlives all processes and remembers the highest epoch of each partition. If a new
 * holder offers a lower one, the store refuses all its appends, and accepted jobs run nowhere.
 * Therefore an epoch is derived from the newest claim, and a refused one is followed by a higher
 * one at once, until the store accepts it.
 */
final class PartitionTakeover {

  /** Pause before a failed call to the store is retried. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

  private final JobParts parts;
  private final HoldClaims claims;
  private final int partition;
  private final Assignment assignment;
  private final HoldRefusals refusals;
  private final Listener listener;
  private final StoreFailures failures;
  private final EpochSearch search;
  private final Instant begun;
  private OptionalLong earlierEnd = OptionalLong.empty();
  private @Nullable HoldClaim refused;
  private boolean ended;

  /**
   * Assignment of a partition to this process.
   *
   * @param generation generation of the group that assigns it
   * @param member name of this process
   * @param overtakenBy epoch of a claim of a later generation that was known before the group
   *     assigned the partition again; -1 if there is none
   */
  record Assignment(long generation, String member, long overtakenBy) {}

  /** Receives the outcome of a takeover. */
  interface Listener {

    /** Called when the claim's epoch is above all that the store has seen. */
    void onTaken(HoldClaim claim);

    /** Called when another process has claimed the partition later; its epoch is -1 if unknown. */
    void onOvertaken(long epoch);
  }

  PartitionTakeover(
      JobParts parts,
      HoldClaims claims,
      int partition,
      Assignment assignment,
      HoldRefusals refusals,
      Listener listener) {
    this.parts = parts;
    this.claims = claims;
    this.partition = partition;
    this.assignment = assignment;
    this.refusals = refusals;
    this.listener = listener;
    this.failures = new StoreFailures(parts, partition);
    this.begun = parts.clock().instant();
    this.search = new EpochSearch(assignment.generation(), begun);
  }

  /** Reads the newest claim, and claims the partition behind it. */
  void start() {
    if (ended) {
      return;
    }
    claims
        .newest(partition)
        .whenCompleteAsync(
            (newest, failure) -> {
              if (ended) {
                return;
              }
              if (failure == null) {
                onRead(newest);
              } else {
                failures.report("claims", failure);
                startLater();
              }
            },
            parts.executor());
  }

  /** Ends the takeover without an outcome. */
  void cancel() {
    ended = true;
  }

  private void startLater() {
    parts.executor().schedule(this::start, RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void onRead(HoldClaims.Newest newest) {
    HoldClaim last = newest.claim();
    if (last != null && overtakes(last)) {
      overtaken(last);
      return;
    }
    if (newest.consistent()) {
      claim(newest.epoch(), newest.end());
    } else if (earlierEnd.isPresent()) {
      // Each claim before the earlier end is in the page that was read after it.
      claim(newest.epoch(), earlierEnd.getAsLong());
    } else {
      earlierEnd = OptionalLong.of(newest.end());
      start();
    }
  }

  /**
   * Returns whether a claim is later than this takeover: it follows the claim that the store has
   * refused, or it belongs to a later generation and was not known when the group assigned the
   * partition. A process that was frozen after its join must not take the partition from its
   * successor.
   */
  private boolean overtakes(HoldClaim last) {
    if (refused != null) {
      return last.offset() > refused.offset();
    }
    return last.generation() > assignment.generation()
        && last.epoch() != assignment.overtakenBy()
        && !last.holder().equals(assignment.member());
  }

  private void claim(long lastEpoch, long at) {
    earlierEnd = OptionalLong.empty();
    OptionalLong epoch = search.next(lastEpoch);
    if (epoch.isEmpty()) {
      refusals.refused(partition, lastEpoch, assignment.generation(), "no higher epoch is left");
      ended = true;
      listener.onOvertaken(-1);
      return;
    }
    HoldClaim claim =
        new HoldClaim(epoch.getAsLong(), assignment.generation(), assignment.member(), at);
    claims
        .append(partition, claim)
        .whenCompleteAsync(
            (done, failure) -> {
              if (ended) {
                return;
              }
              if (failure == null) {
                probe(claim);
              } else if (failures.report("claim", failure) == StoreException.Kind.NOT_AT_END) {
                start();
              } else {
                // The claim may be carried out later, then its epoch is used by nobody.
                startLater();
              }
            },
            parts.executor());
  }

  private void probe(HoldClaim claim) {
    if (ended) {
      return;
    }
    FencedWriter writer =
        new FencedWriter(PartitionRunner.WRITER, claim.probeEpoch(), claim.firstSequence());
    parts
        .store()
        .append(new AppendCall(JobReplicas.TOPIC, partition, List.of(), writer))
        .whenCompleteAsync(
            (done, failure) -> {
              if (ended) {
                return;
              }
              if (failure == null) {
                onAccepted(claim);
                return;
              }
              StoreException.Kind kind = failures.report("probe", failure);
              if (PartitionRunner.refusal(kind)) {
                onRefused(claim);
              } else {
                parts
                    .executor()
                    .schedule(() -> probe(claim), RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
              }
            },
            parts.executor());
  }

  private void onAccepted(HoldClaim claim) {
    ended = true;
    parts
        .log()
        .important("job", "partition.claimed")
        .with("partition", partition)
        .with("epoch", claim.epoch())
        .with("generation", claim.generation())
        .with("refusals", search.refusals())
        .with("millis", Duration.between(begun, parts.clock().instant()).toMillis())
        .write();
    listener.onTaken(claim);
  }

  private void onRefused(HoldClaim claim) {
    refused = claim;
    search.refused();
    refusals.refused(
        partition, claim.epoch(), claim.generation(), "the store has seen a higher epoch");
    start();
  }

  private void overtaken(HoldClaim by) {
    ended = true;
    refusals.refused(
        partition, by.epoch(), assignment.generation(), "claimed later by " + by.holder());
    listener.onOvertaken(by.epoch());
  }
}

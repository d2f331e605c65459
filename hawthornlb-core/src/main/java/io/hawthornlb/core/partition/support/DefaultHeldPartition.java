package io.hawthornlb.core.partition.support;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.partition.HeldPartition;
import io.hawthornlb.core.partition.PartitionFold;
import io.hawthornlb.core.partition.PartitionOpened;
import io.hawthornlb.core.util.Checks;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Opens the stream of a partition that this instance has claimed, and starts rounds of snapshots.
 *
 * <p>Confined to one thread. The stream of claims decides whether a claim is valid. The opening
 * record repeats the epoch of the claim in the partition's own stream, so that validity does not
 * depend on the order of records in different streams.
 */
public final class DefaultHeldPartition implements HeldPartition {

  private static final int ROUNDS_IN_RETENTION = 4;
  private static final Duration RESEND_AFTER = Duration.ofSeconds(10);

  private final PartitionFold fold;
  private final RecordIdSource ids;
  private final Duration roundInterval;
  private @Nullable Claim claimed;
  private @Nullable Instant roundRequestedAt;
  private @Nullable Instant openingSentAt;

  /** Creates the state of a partition that this instance does not hold. */
  public DefaultHeldPartition(PartitionFold fold, RecordIdSource ids, Duration logRetention) {
    this.fold = fold;
    this.ids = ids;
    this.roundInterval = logRetention.dividedBy(ROUNDS_IN_RETENTION);
  }

  /**
   * Processes a claim of this instance that is valid in the stream of claims, and returns the
   * append of the opening record.
   *
   * @throws IllegalArgumentException if the epoch is not above that of the claim that this instance
   *     has
   */
  public List<Effect> claimGained(Claim claim) {
    boolean later = claimed == null || claim.epoch().compareTo(claimed.epoch()) > 0;
    Checks.isTrue(later, "the claim of epoch " + claim.epoch().value() + " is already superseded");
    claimed = claim;
    openingSentAt = null;
    return List.of(opening(claim));
  }

  /** Processes the end of the claim of an epoch and of all claims with lower epochs. */
  public void claimLost(Epoch epoch) {
    if (claimed != null && claimed.epoch().compareTo(epoch) <= 0) {
      claimed = null;
    }
  }

  /**
   * Resends the opening record if it was lost, and requests a new round of snapshots when one is
   * due. Call this method about once a second.
   */
  public List<Effect> tick(Instant now) {
    Claim claim = claim().orElse(null);
    if (claim == null) {
      return resendOpening(now);
    }
    if (!roundDue(now)) {
      return List.of();
    }
    roundRequestedAt = now;
    return List.of(opening(claim));
  }

  @Override
  public Optional<Claim> claim() {
    if (claimed == null || !fold.complete()) {
      return Optional.empty();
    }
    PartitionOpened own = new PartitionOpened(claimed.epoch(), claimed.holder());
    return fold.opened().filter(own::equals).map(opened -> claimed);
  }

  private List<Effect> resendOpening(Instant now) {
    if (claimed == null || !openedBelow(claimed.epoch())) {
      return List.of();
    }
    boolean late = openingSentAt != null && openingSentAt.plus(RESEND_AFTER).isBefore(now);
    openingSentAt = openingSentAt == null || late ? now : openingSentAt;
    return late ? List.of(opening(claimed)) : List.of();
  }

  private boolean openedBelow(Epoch epoch) {
    return fold.opened().map(PartitionOpened::epoch).orElse(Epoch.NONE).compareTo(epoch) < 0;
  }

  private boolean roundDue(Instant now) {
    Instant last = fold.lastRoundAt().orElse(now);
    boolean old = last.plus(roundInterval).isBefore(now);
    boolean requested =
        roundRequestedAt != null && roundRequestedAt.plus(roundInterval).isAfter(now);
    return old && !requested;
  }

  private Effect opening(Claim claim) {
    StreamName stream = StreamName.ofPartition(claim.partition());
    return new AppendRecord(stream, ids.next(), new PartitionOpened(claim.epoch(), claim.holder()));
  }
}

package io.hawthornlb.core.claim.support;

import io.hawthornlb.core.chart.ChartInstance;
import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.StateChart;
import io.hawthornlb.core.chart.support.ChartResources;
import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.ClaimRecord;
import io.hawthornlb.core.claim.ClaimSnapshot;
import io.hawthornlb.core.claim.ClaimState;
import io.hawthornlb.core.claim.ClaimView;
import io.hawthornlb.core.claim.ReleaseRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.WriterWindow;
import io.hawthornlb.core.log.support.AbstractStreamFold;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.util.Checks;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Folds the stream of claims.
 *
 * <p>A claim is valid only if the epoch that it supersedes is current. So the claim at the lower
 * offset wins a race of two claims, and a claim by a paused holder is void if another instance has
 * taken over in the meantime.
 */
public final class ClaimFold extends AbstractStreamFold<ClaimSnapshot> implements ClaimView {

  private static final int VERSION = 1;

  private static final StateChart<ClaimPhase, ClaimEvent, ClaimAction> CHART =
      ChartResources.load(
          ClaimFold.class,
          "claim.yaml",
          new ChartTypes<>(ClaimPhase.class, ClaimEvent.class, ClaimAction.class));

  private final @Nullable ClaimState[] states;

  /** Creates an empty fold for a fixed number of partitions. */
  public ClaimFold(int partitions) {
    super(ClaimSnapshot.class, VERSION);
    Checks.isTrue(partitions > 0, "partitions must be positive");
    this.states = new ClaimState[partitions];
  }

  @Override
  public Optional<Claim> current(PartitionId partition) {
    ClaimState state = states[partition.value()];
    return state == null ? Optional.empty() : state.claim();
  }

  @Override
  public int partitions() {
    return states.length;
  }

  /** Returns the epoch that the next claim of a partition must supersede. */
  public Epoch epoch(PartitionId partition) {
    ClaimState state = states[partition.value()];
    return state == null ? Epoch.NONE : state.epoch();
  }

  @Override
  protected void applyFirst(LogRecord entry) {
    InstanceId writer = entry.id().writer();
    if (entry.body() instanceof ClaimRecord claim) {
      applyClaim(new Epoch(entry.offset()), writer, claim);
    } else if (entry.body() instanceof ReleaseRecord release) {
      applyRelease(writer, release);
    }
  }

  @Override
  protected List<ClaimSnapshot> createSnapshot(long upTo, List<WriterWindow> writers) {
    List<ClaimState> claims = new ArrayList<>();
    for (ClaimState state : states) {
      if (state != null) {
        claims.add(state);
      }
    }
    return List.of(new ClaimSnapshot(VERSION, upTo, 0, 1, writers, claims));
  }

  @Override
  protected void install(List<ClaimSnapshot> parts) {
    Arrays.fill(states, null);
    for (ClaimState state : parts.get(0).claims()) {
      if (isKnown(state.partition())) {
        states[state.partition().value()] = state;
      }
    }
  }

  private void applyClaim(Epoch epoch, InstanceId writer, ClaimRecord claim) {
    // A holder that was paused for longer than the silence timeout, or the slower of two claimants,
    // relies on an epoch that has ended. If its claim were valid, one partition would have two
    // holders. Each claim names the epoch that it supersedes, and that epoch is current for at most
    // one of the claims.
    if (!isKnown(claim.partition()) || !epoch(claim.partition()).equals(claim.superseded())) {
      return;
    }
    if (actions(claim.partition(), event(writer, claim)).contains(ClaimAction.SET_HOLDER)) {
      Optional<InstanceId> holder = Optional.of(claim.holder());
      states[claim.partition().value()] =
          new ClaimState(claim.partition(), epoch, holder, claim.witnesses());
    }
  }

  private void applyRelease(InstanceId writer, ReleaseRecord release) {
    PartitionId partition = release.partition();
    if (!isKnown(partition) || !epoch(partition).equals(release.epoch())) {
      return;
    }
    ClaimState state = states[partition.value()];
    ClaimEvent event =
        writer.equals(holder(partition)) ? ClaimEvent.RELEASED : ClaimEvent.RELEASED_BY_OTHER;
    if (state != null && actions(partition, event).contains(ClaimAction.CLEAR_HOLDER)) {
      states[partition.value()] =
          new ClaimState(partition, state.epoch(), Optional.empty(), state.witnesses());
    }
  }

  private ClaimEvent event(InstanceId writer, ClaimRecord claim) {
    if (claim.holder().equals(writer)) {
      return ClaimEvent.TAKEN;
    }
    return writer.equals(holder(claim.partition()))
        ? ClaimEvent.HANDED_OVER
        : ClaimEvent.ASSIGNED_BY_OTHER;
  }

  /**
   * Returns the actions that the state chart prescribes for an event; none for an event that the
   * current state ignores.
   */
  private List<ClaimAction> actions(PartitionId partition, ClaimEvent event) {
    ClaimPhase phase = holder(partition) == null ? ClaimPhase.FREE : ClaimPhase.HELD;
    return new ChartInstance<>(CHART, phase).fire(event);
  }

  private boolean isKnown(PartitionId partition) {
    return partition.value() < states.length;
  }

  private @Nullable InstanceId holder(PartitionId partition) {
    ClaimState state = states[partition.value()];
    return state == null ? null : state.holder().orElse(null);
  }
}

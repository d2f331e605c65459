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
 * <p>A claim is valid only if the epoch that it supersedes is current, so of two that race the one
 * at the lower offset wins, and a holder that was paused finds its epoch dead.
 */
public final class ClaimFold extends AbstractStreamFold<ClaimSnapshot> implements ClaimView {

  private static final int VERSION = 1;

  private static final StateChart<ClaimPhase, ClaimEvent, ClaimAction> CHART =
      ChartResources.load(
          ClaimFold.class,
          "claim.yaml",
          new ChartTypes<>(ClaimPhase.class, ClaimEvent.class, ClaimAction.class));

  private final @Nullable ClaimState[] states;

  /** Creates a fold for a fixed number of partitions. */
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
    // A holder that was paused for longer than the others waited, or the slower of two claimants,
    // believes in an epoch that has ended. It would show as two holders of one partition. The
    // record names the epoch that it rests on, which is current for one of them at most.
    if (!isKnown(claim.partition()) || !epoch(claim.partition()).equals(claim.superseded())) {
      return;
    }
    if (actions(claim.partition(), event(writer, claim)).contains(ClaimAction.HOLD)) {
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
    if (state != null && actions(partition, event).contains(ClaimAction.LET_GO)) {
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
        : ClaimEvent.GIVEN_BY_OTHER;
  }

  /** Returns what the chart asks for; a record that does not fit is ignored there. */
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

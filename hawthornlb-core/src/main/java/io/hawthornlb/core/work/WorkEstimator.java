package io.hawthornlb.core.work;

import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Estimates, for one service, how long requests use a slot of an endpoint of usual pace. */
public interface WorkEstimator {

  /**
   * Returns the time for which a whole request uses a slot.
   *
   * @param workspace workspace of the caller; null if the caller is anonymous
   */
  Duration estimate(WorkSize size, @Nullable WorkspaceId workspace);

  /**
   * Learns from a completed use of a slot.
   *
   * @param workspace workspace of the caller; null if the caller is anonymous
   * @param slotTime time for which the slot was used, divided by the pace factor of the endpoint
   */
  void completed(WorkSize size, @Nullable WorkspaceId workspace, Duration slotTime);
}

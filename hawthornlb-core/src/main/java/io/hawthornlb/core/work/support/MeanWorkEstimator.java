package io.hawthornlb.core.work.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkEstimator;
import io.hawthornlb.core.work.WorkSize;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Estimates all requests alike, by the moving average of the completed uses. */
public final class MeanWorkEstimator implements WorkEstimator {

  /** Weight of the latest use; about the last ten count. */
  private static final double SMOOTHING = 0.1;

  /** Estimate before the first use has ended; that of a short answer of 250 tokens. */
  private static final double FIRST_MILLIS = 500;

  private double meanMillis = FIRST_MILLIS;

  @Override
  public Duration estimate(WorkSize size, @Nullable WorkspaceId workspace) {
    return Duration.ofMillis((long) meanMillis);
  }

  @Override
  public void completed(WorkSize size, @Nullable WorkspaceId workspace, Duration slotTime) {
    meanMillis += SMOOTHING * (slotTime.toMillis() - meanMillis);
  }
}

package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogFreshness;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/** Log whose copy is current, unless the test cuts it off. */
final class CurrentLog implements LogFreshness {

  private final InstantSource clock;
  private volatile @Nullable Instant cutOffAt;

  CurrentLog(InstantSource clock) {
    this.clock = clock;
  }

  /** Sets whether the log cannot be read from now on. */
  void cutOff(boolean value) {
    if (value != isCutOff()) {
      cutOffAt = value ? clock.instant() : null;
    }
  }

  boolean isCutOff() {
    return cutOffAt != null;
  }

  @Override
  public Instant freshAsOf() {
    Instant since = cutOffAt;
    return since == null ? clock.instant() : since;
  }

  @Override
  public CompletionStage<Void> refresh() {
    return CompletableFuture.completedFuture(null);
  }
}

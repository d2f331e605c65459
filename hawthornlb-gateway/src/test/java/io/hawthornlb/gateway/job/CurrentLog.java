package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.store.LogFreshness;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/** Log whose copy is current, unless the test cuts it off. */
final class CurrentLog implements LogFreshness {

  private final InstantSource clock;
  private final Duration age;
  private volatile @Nullable Instant cutOffAt;

  CurrentLog(InstantSource clock) {
    this(clock, Duration.ZERO);
  }

  /**
   * Creates a log whose copy is somewhat old.
   *
   * @param age age of the moment up to which the copy is known to be complete
   */
  CurrentLog(InstantSource clock, Duration age) {
    this.clock = clock;
    this.age = age;
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
    return (since == null ? clock.instant() : since).minus(age);
  }

  @Override
  public CompletionStage<Void> refresh() {
    return CompletableFuture.completedFuture(null);
  }
}

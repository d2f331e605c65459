package io.hawthornlb.core.pace.support;

import io.hawthornlb.core.pace.PaceTable;
import java.time.Duration;
import java.time.Instant;

/** Takes all endpoints for equally fast, whatever they report. */
public final class UniformPaceTable implements PaceTable {

  @Override
  public void reported(String endpoint, int percent, Instant now) {}

  @Override
  public void completed(String endpoint, Duration estimated, Duration actual, Instant now) {}

  @Override
  public double lastingFactor(String endpoint) {
    return 1;
  }

  @Override
  public double factor(String endpoint, Instant now) {
    return 1;
  }

  @Override
  public boolean active() {
    return false;
  }

  @Override
  public void forget(String endpoint) {}
}

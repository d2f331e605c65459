package io.hawthornlb.core.admission.support;

import java.time.Instant;

/**
 * Counts the requests of one workspace at this entry instance. An object of this class exists only
 * while the workspace has requests, and shortly afterwards.
 */
final class WorkspaceUse {

  private final RateMeter rate;
  private int running;
  private int waiting;

  WorkspaceUse(Instant now) {
    this.rate = new RateMeter(now);
  }

  RateMeter rate() {
    return rate;
  }

  int running() {
    return running;
  }

  int total() {
    return running + waiting;
  }

  void addRunning(int change) {
    running += change;
  }

  void addWaiting(int change) {
    waiting += change;
  }
}

package io.hawthornlb.gateway.front;

import java.util.Set;

/** Statuses by which a caller is told that its request has not run and never will. */
public final class NotRunStatuses {

  private static final Set<Integer> STATUSES = Set.of(408, 421, 429, 503);

  private NotRunStatuses() {}

  /** Returns whether a status tells that; only who can prove it may answer with it. */
  public static boolean contains(int status) {
    return STATUSES.contains(status);
  }
}

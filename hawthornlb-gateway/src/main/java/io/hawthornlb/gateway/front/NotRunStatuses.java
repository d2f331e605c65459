package io.hawthornlb.gateway.front;

import java.util.Set;

/** Statuses that tell a caller that its request has not run and never will. */
public final class NotRunStatuses {

  private static final Set<Integer> STATUSES = Set.of(408, 421, 429, 503);

  private NotRunStatuses() {}

  /**
   * Returns whether a status states that the request has not run. The gateway sends such a status
   * only if that is proven.
   */
  public static boolean contains(int status) {
    return STATUSES.contains(status);
  }
}
